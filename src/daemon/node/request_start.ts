/** Start of the handling of requests, outside the HTTP parser. */

import type { FastifyInstance } from "fastify";

/**
 * Lets each request be handled after the callback of the HTTP parser that has
 * announced it: an error that leaves the callback, or a tick queued there, stops
 * the parser of the connection. Must be called before other hooks are added.
 *
 * @param server - Server that is not listening yet.
 */
export function startRequestsOutsideParser(server: FastifyInstance): void {
  server.addHook("onRequest", (_request, reply, done) => {
    setImmediate(() => {
      // The handlers listen for the end of the connection only from here on.
      if (!reply.raw.destroyed) done();
    });
  });
}

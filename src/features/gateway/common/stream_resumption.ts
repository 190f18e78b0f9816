/**
 * Finds out at which software version a stream has to go on that a caller takes
 * up after an earlier try, and remembers at which version streams begin.
 */

import type { WorkspaceId } from "../../../base/common/ids.ts";
import type { RegisteredEndpoint } from "./endpoint_registry.ts";
import type { RequestContext } from "./request_context.ts";
import type { StreamKey } from "./stream_versions.ts";

/** Retry delay; endpoints of the version may be back by then. */
const RETRY_AFTER_MS = 1_000;
/** Time after its deadline for which the version of a stream is kept. */
const EXPIRY_MARGIN_MS = 1_000;
/** Workspace of requests on routes without keys. */
const PUBLIC_WORKSPACE = "" as WorkspaceId;

/** Version of one stream across the tries of its caller. */
export class StreamResumption {
  readonly #context: RequestContext;

  /** @param context - State of the request. */
  constructor(context: RequestContext) {
    this.#context = context;
  }

  /**
   * Refuses a try that takes up a stream, unless an endpoint of the version
   * that began it accepts requests. A version that is not known is not guessed
   * unless there was only one.
   *
   * @returns Whether the try was refused.
   */
  refuse(): boolean {
    const context = this.#context;
    const { request, services } = context;
    if (!request.fields.resumeAfterEventId) return false;
    const key = this.#resumedKey();
    const known = key && services.streamVersions.versionOf(key);
    const version = known ?? this.#onlyVersion();
    this.#logDecision(version, known === undefined ? "service" : "stream");
    if (version === undefined) {
      return this.#refuse("the software version of the stream is not known");
    }
    context.softwareVersion = version;
    const { registry } = services;
    const isServed = registry.usable(request.service.id).some((endpoint) =>
      context.accepts(endpoint)
    );
    if (isServed) return false;
    return this.#refuse(
      `no endpoint with the stream's software version ${version} accepts requests`,
    );
  }

  /** Records that an endpoint has begun or continued the stream. */
  recordStart({ softwareVersion }: RegisteredEndpoint): void {
    const context = this.#context;
    context.softwareVersion = softwareVersion;
    if (!context.canResume) return;
    const { request, services } = context;
    const key = request.fields.resumeAfterEventId
      ? this.#resumedKey()
      : this.#keyOf(request.id);
    if (!key) return;
    services.streamVersions.record({
      ...key,
      softwareVersion,
      expiresMs: request.deadlineMs + EXPIRY_MARGIN_MS,
    });
  }

  /**
   * Returns the version of all endpoints that were present while the stream
   * may have run, if it is known that there is only one.
   */
  #onlyVersion(): string | undefined {
    const { request, services } = this.#context;
    const { clock, softwareVersions } = services;
    const sinceMs = clock.monotonicMs() - request.route.timeoutMs;
    const versions = softwareVersions.versionsSince(
      request.service.id,
      sinceMs,
    );
    if (versions?.size === 0) return "";
    return versions?.size === 1 ? [...versions][0] : undefined;
  }

  #logDecision(
    softwareVersion: string | undefined,
    source: "stream" | "service",
  ): void {
    const { request, services } = this.#context;
    const { metrics, softwareVersions } = services;
    const { resumeAfterEventId, resumedRequestId } = request.fields;
    const versions = softwareVersions.currentVersions(request.service.id);
    if (softwareVersion !== undefined) metrics.count("streams_resumed", source);
    this.#context.log("info", "stream-resumed", {
      resumes: resumedRequestId,
      afterEvent: resumeAfterEventId,
      softwareVersion,
      source,
      versions: versions && [...versions].join(),
      viewAgeMs: Math.round(softwareVersions.viewAgeMs),
    });
  }

  #resumedKey(): StreamKey | undefined {
    const { resumedRequestId } = this.#context.request.fields;
    return resumedRequestId ? this.#keyOf(resumedRequestId) : undefined;
  }

  #keyOf(id: string): StreamKey {
    const { request, workspace } = this.#context;
    return {
      id,
      service: request.service.id,
      workspace: workspace ?? PUBLIC_WORKSPACE,
    };
  }

  #refuse(reason: string): true {
    this.#context.services.metrics.count("resumptions_refused");
    this.#context.fail(503, "not-run", reason, RETRY_AFTER_MS);
    return true;
  }
}

// Replaces the index module of undici in the bundle. The original index also
// loads fetch, caches, mocks and WebSockets, which the daemon does not use and
// which delay its startup.
import request from "../node_modules/undici/lib/api/api-request.js";
import Client from "../node_modules/undici/lib/dispatcher/client.js";
import Dispatcher from "../node_modules/undici/lib/dispatcher/dispatcher.js";
import Pool from "../node_modules/undici/lib/dispatcher/pool.js";

Dispatcher.prototype.request = request;

export { Client, Pool };

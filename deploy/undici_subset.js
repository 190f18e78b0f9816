// Stands in for undici's index in the bundle. The index also loads fetch,
// caches, mocks and WebSockets, which daemons never use and which delay their
// start.
import request from "../node_modules/undici/lib/api/api-request.js";
import Client from "../node_modules/undici/lib/dispatcher/client.js";
import Dispatcher from "../node_modules/undici/lib/dispatcher/dispatcher.js";
import Pool from "../node_modules/undici/lib/dispatcher/pool.js";

Dispatcher.prototype.request = request;

export { Client, Pool };

/**
 * Stand-in of a model replica, as PROTOCOL.md describes it: streams, backups
 * and copies of runs. It drops a request when its connection closes.
 */

import { createServer } from "node:http";
import { listen, readBody } from "./net.mjs";
import { Proxy } from "./proxy.mjs";

const BACKUP_PERIOD_EVENTS = 5;
const COPY_MS = 50;
/** Three heartbeat intervals, after which a silent replica is removed. */
const ENTRY_MS = 3_600;

/** Copies of runs, by the address that holds them and their name. */
class Memory {
  #copies = new Map();

  keep(reference, copy) {
    this.#copies.set(reference, copy);
  }

  take(reference) {
    const copy = this.#copies.get(reference);
    this.#copies.delete(reference);
    return copy;
  }
}

export class Engine {
  #options;
  #server;
  #sockets = new Set();
  #runs = new Map();
  #moves = 0;
  #isUp = true;
  proxy;
  id;

  /**
   * @param options - `id`, `service`, `zone`, `memory`, `world`, the `version`
   * of the software, whether its answers end with their connections
   * (`endsByClose`), and `onBegin(run)`, which may do something to this replica.
   */
  constructor(options) {
    this.#options = options;
    this.id = options.id;
  }

  static createMemory() {
    return new Memory();
  }

  async start() {
    const port = await this.#listen();
    this.proxy = new Proxy(port);
    await this.proxy.start();
    this.announce();
  }

  stop() {
    this.#isUp = false;
    this.proxy?.stop();
    this.#kill();
  }

  get address() {
    return this.proxy.address;
  }

  /** Number of runs in progress. */
  get running() {
    return this.#runs.size;
  }

  announce(state = "ready") {
    const { service, version, world, zone } = this.#options;
    world.store.put(`servers/${this.id}`, {
      service,
      address: this.address,
      zone,
      version: version ?? "v1",
      slots: 24,
      state,
      "cold-left-ms": 0,
      phase: "hybrid",
      models: [{ name: "m", version: 1, loras: [] }],
      seq: 1,
    });
  }

  /**
   * The host loses power, and is back after a time as another incarnation at
   * the same address. The platform removes its entry after three heartbeats of
   * silence.
   */
  async losePower(forMs, nextId) {
    const { world } = this.#options;
    const oldId = this.id;
    this.proxy.goDark();
    this.#kill();
    const removal = setTimeout(
      () => world.store.remove(`servers/${oldId}`),
      3_600,
    );
    await world.sleep(forMs);
    clearTimeout(removal);
    if (!this.#isUp || world.isStopped) return;
    this.id = nextId;
    this.proxy.retarget(await this.#listen());
    world.store.remove(`servers/${oldId}`);
    this.announce();
    this.proxy.comeBack();
    world.note("replica-back", { replica: nextId, was: oldId });
  }

  /** The process ends; its host goes on, and refuses connections. */
  async crash(forMs, nextId) {
    const { world } = this.#options;
    const oldId = this.id;
    this.#kill();
    this.proxy.refuse();
    await world.sleep(forMs);
    if (!this.#isUp || world.isStopped) return;
    this.id = nextId;
    await this.proxy.accept(await this.#listen());
    world.store.remove(`servers/${oldId}`);
    this.announce();
    world.note("replica-back", { replica: nextId, was: oldId });
  }

  /**
   * The process ends, and its host closes its connections. After a time another
   * incarnation listens at the address; the entry stays for three heartbeats.
   */
  async restart(afterMs, nextId) {
    const { world } = this.#options;
    const oldId = this.id;
    this.#kill();
    setTimeout(() => world.store.remove(`servers/${oldId}`), ENTRY_MS);
    await world.sleep(50);
    this.proxy.refuse(false);
    await world.sleep(afterMs - 50);
    if (!this.#isUp || world.isStopped) return;
    this.id = nextId;
    await this.proxy.accept(await this.#listen());
    this.announce();
    world.note("replica-back", { replica: nextId, was: oldId });
  }

  async #listen() {
    this.#server = createServer((request, response) => {
      this.#handle(request, response).catch(() => response.destroy());
    });
    this.#server.keepAliveTimeout = 60_000;
    const sockets = new Set();
    this.#sockets = sockets;
    this.#server.on("connection", (socket) => {
      sockets.add(socket);
      socket.on("close", () => sockets.delete(socket));
      socket.on("error", () => undefined);
    });
    return await listen(this.#server);
  }

  /** Ends the process without notice. */
  #kill() {
    for (const run of [...this.#runs.values()]) run.end("killed");
    this.#server?.close();
    for (const socket of this.#sockets) socket.destroy();
  }

  async #handle(request, response) {
    const body = await readBody(request);
    const { url } = request;
    if (url === "/healthz") {
      response.writeHead(200, { "X-Replica-Id": this.id }).end();
    } else if (url === "/api/report") this.#report(response);
    else if (url === "/api/kv-move") await this.#move(response, body);
    else if (url.startsWith("/api/kv-handle/")) response.end();
    else this.#serve(request, response);
  }

  #report(response) {
    response.setHeader("content-type", "application/json");
    response.end(JSON.stringify({
      phase: "hybrid",
      models: [{ name: "m", version: 1, loras: [] }],
      busy: false,
      seq: 1,
      queued: 0,
      running: this.running,
      "kv-used": 0,
      "kv-total": 34_305,
      handles: 0,
      state: "ready",
      runs: [],
    }));
  }

  async #move(response, body) {
    const { id, to, last = false } = JSON.parse(body);
    const run = this.#runs.get(id);
    const { memory, world } = this.#options;
    world.note("kv-move", { id, replica: this.id, to, last, found: !!run });
    if (!run) {
      response.writeHead(404).end("{}");
      return;
    }
    if (last) run.end("moved", true);
    const handle = `h${++this.#moves}`;
    const copy = { id, events: run.events };
    await world.sleep(COPY_MS);
    memory.keep(`${this.address}/${handle}@${to}`, copy);
    response.setHeader("content-type", "application/json");
    response.end(JSON.stringify({ handle, "create-rev": run.events }));
  }

  #serve(request, response) {
    const { headers } = request;
    const { memory, world } = this.#options;
    const id = headers["x-request-id"];
    const refuse = (status) =>
      response.writeHead(status, {
        "X-Request-Id": id,
        "X-Not-Executed": "1",
        "X-Replica-Id": this.id,
      }).end();
    if (headers["x-expect-replica"] !== this.id) {
      refuse(421);
      return;
    }
    const from = headers["kv-from"];
    const copy = from === undefined
      ? undefined
      : memory.take(`${from}@${this.address}`) ?? memory.take(from);
    if (from !== undefined && copy?.id !== id) {
      world.note("refused", { id, replica: this.id, from });
      refuse(503);
      return;
    }
    this.#run(request, response, id, copy);
  }

  #run(request, response, id, copy) {
    const { headers } = request;
    const { memory, onBegin, world } = this.#options;
    const after = Number(headers["last-event-id"] ?? 0);
    const count = world.eventCountOf(id);
    const backup = headers["x-kv-backup"];
    const record = world.beginRun({
      id,
      replica: this.id,
      after,
      headers,
      from: headers["kv-from"],
    });
    let timer;
    const run = {
      events: after,
      end: (how, closes = false) => {
        if (this.#runs.get(id) !== run) return;
        this.#runs.delete(id);
        clearInterval(timer);
        world.endRun(record, how);
        if (closes) response.destroy();
      },
    };
    this.#runs.set(id, run);
    response.on("close", () => run.end("dropped"));
    const begin = () => {
      if (this.#runs.get(id) !== run) return;
      if (this.#options.endsByClose) {
        response.useChunkedEncodingByDefault = false;
        response.shouldKeepAlive = false;
      }
      response.writeHead(200, {
        "X-Request-Id": id,
        "X-Response-Stamp": `${this.id}.${id}`,
        "X-Weight-Versions": "1",
        "content-type": "text/event-stream",
      });
      const write = () => {
        run.events++;
        response.write(`id: ${run.events}\ndata: ${id} ${run.events}\n\n`);
        onBegin?.({ id, headers, events: run.events - after, replica: this });
        if (this.#runs.get(id) !== run) return;
        if (backup && run.events % BACKUP_PERIOD_EVENTS === 0) {
          memory.keep(`${backup}/${id}`, { id, events: run.events });
        }
        if (run.events < count) return;
        response.end();
        run.end("complete");
      };
      write();
      if (this.#runs.get(id) === run) timer = setInterval(write, world.eventMs);
    };
    setTimeout(begin, copy ? 60 : world.prefillMs);
  }
}

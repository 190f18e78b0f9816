import {
  SingleDaemonDeployment,
  TEST_API_KEY,
} from "../../standins/edge/single_daemon_deployment.ts";
import { sendRawBytes } from "../../standins/edge/raw_tcp_client.ts";

const AUTHORIZATION = `Authorization: Bearer ${TEST_API_KEY}`;

function createRequest(
  line: string,
  headers: readonly string[] = [],
  body = "",
): Buffer {
  const head = [`${line} HTTP/1.1`, "Host: edge", AUTHORIZATION, ...headers];
  return Buffer.from(`${head.join("\r\n")}\r\n\r\n${body}`, "latin1");
}

function parseHeaderLines(message: string): string[] {
  return message.slice(0, message.indexOf("\r\n\r\n")).split("\r\n").slice(1);
}

describe("plain calls over sockets", () => {
  let deployment: SingleDaemonDeployment;
  const send = (...parts: readonly (string | Buffer)[]): Promise<string> =>
    sendRawBytes(deployment.callerAddress, parts);

  beforeEach(async () => {
    deployment = new SingleDaemonDeployment();
    await deployment.start();
  });
  afterEach(() => deployment.stop());

  it("preserve path, headers and body except hop-by-hop headers", async () => {
    const body = String.fromCharCode(
      ...Array.from({ length: 256 }, (_, byte) => byte),
    );
    await send(createRequest("POST /app/a%2Fb/../%7Ec/./d?x=%20&x=2&y=a+b", [
      "X-oDD-CaSe: One",
      "x-repeated: 1",
      "X-Repeated: 2",
      "X-Latin: caf\xe9",
      "Cookie: a=1; b=2",
      "Content-Type: application/x-odd; q",
      "Connection: close, X-Hop",
      "X-Hop: dropped",
      "TE: trailers",
      `Content-Length: ${body.length}`,
    ], body));
    const { received } = deployment.app;
    expect(received.split("\r\n")[0]).toBe(
      "POST /app/a%2Fb/../%7Ec/./d?x=%20&x=2&y=a+b HTTP/1.1",
    );
    const lines = parseHeaderLines(received).filter((line) =>
      !/^connection:/i.test(line)
    );
    expect(lines.sort()).toEqual([
      AUTHORIZATION,
      "Content-Type: application/x-odd; q",
      "Cookie: a=1; b=2",
      "X-Latin: caf\xe9",
      "X-Repeated: 2",
      "X-oDD-CaSe: One",
      `content-length: ${body.length}`,
      "host: edge",
      "x-repeated: 1",
    ].sort());
    expect(received.slice(received.indexOf("\r\n\r\n") + 4)).toBe(body);
  });

  it("forward chunked bodies and GET bodies completely", async () => {
    await send(createRequest(
      "PUT /app/x",
      ["Transfer-Encoding: chunked", "Connection: close"],
      "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n",
    ));
    await send(createRequest(
      "GET /app/y",
      ["Content-Length: 4", "Connection: close"],
      "body",
    ));
    const [put, get] = deployment.app.connections.map(({ received }) =>
      received
    );
    expect(put).toMatch(/content-length: 5\r\n\r\nabcde$/);
    expect(get).toMatch(/content-length: 4\r\n\r\nbody$/);
  });

  it("return HEAD, 204 and 304 without a body and keep repeated headers", async () => {
    deployment.app.createResponse = (request) =>
      request.startsWith("HEAD")
        ? "HTTP/1.1 200 OK\r\nContent-Length: 9\r\nSet-Cookie: a=1\r\n" +
          "set-cookie: b=2\r\n\r\n"
        : request.includes("/none")
        ? "HTTP/1.1 204 No Content\r\nX-A: 1\r\n\r\n"
        : 'HTTP/1.1 304 Not Modified\r\nETag: "x"\r\nContent-Length: 7\r\n\r\n';
    const head = await send(createRequest("HEAD /app/h"));
    expect(parseHeaderLines(head)).toEqual(expect.arrayContaining([
      "Content-Length: 9",
      "Set-Cookie: a=1",
      "set-cookie: b=2",
    ]));
    expect(head.endsWith("\r\n\r\n")).toBe(true);
    const noContent = await send(createRequest("DELETE /app/none"));
    expect(noContent).toMatch(/^HTTP\/1.1 204 [^]*X-A: 1/);
    expect(noContent).not.toMatch(/content-length/i);
    const notModified = await send(createRequest("GET /app/same"));
    expect(notModified).toMatch(/^HTTP\/1.1 304 [^]*ETag: "x"/);
    expect(notModified.endsWith("\r\n\r\n")).toBe(true);
  });

  it("send 100 Continue to a caller that expects it", async () => {
    const response = await send(
      createRequest("POST /app/e", [
        "Expect: 100-continue",
        "Content-Length: 3",
      ]),
      "abc",
    );
    expect(response).toMatch(/^HTTP\/1.1 100 Continue\r\n\r\nHTTP\/1.1 200 OK/);
    expect(deployment.app.received).not.toMatch(/expect:/i);
  });

  it("that are not idempotent are sent once, each on a new connection", async () => {
    deployment.app.createResponse = () => undefined;
    const lostResponse = await send(
      createRequest("POST /app/p", ["Content-Length: 0"]),
    );
    expect(lostResponse).toMatch(/"outcome":"unknown"/);
    expect(deployment.app.connections.length).toBe(1);
    expect(
      deployment.app.connections[0]!.socket.destroyed ||
        deployment.app.connections[0]!.socket.readableEnded,
    ).toBe(true);
    deployment.app.createResponse = () =>
      "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n2";
    deployment.app.connections[0]!.socket.write(
      "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate",
    );
    const nextResponse = await send(
      createRequest("POST /app/p", ["Content-Length: 0"]),
    );
    expect(nextResponse).toMatch(/\r\n\r\n2$/);
    expect(deployment.app.connections.length).toBe(2);
  });

  it("that are idempotent never receive a surplus response of an earlier call", async () => {
    deployment.app.createResponse = (request) => {
      const name = /^GET \/app\/(\w+)/.exec(request)![1];
      const answer = `HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n${name}`;
      return name === "a"
        ? `${answer}HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nX`
        : answer;
    };
    expect(await send(createRequest("GET /app/a"))).toMatch(/\r\n\r\na$/);
    expect(await send(createRequest("GET /app/b"))).toMatch(/\r\n\r\nb$/);
  });

  it("end as unknown if the response is too large or malformed", async () => {
    deployment.app.createResponse = (request) =>
      request.startsWith("POST /app/large")
        ? `HTTP/1.1 200 OK\r\nContent-Length: 17000000\r\n\r\n${
          "x".repeat(17_000_000)
        }`
        : "HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nxx";
    for (const path of ["large", "malformed"]) {
      const response = await send(
        createRequest(`POST /app/${path}`, ["Content-Length: 0"]),
      );
      expect(response).toMatch(/^HTTP\/1.1 502 [^]*"outcome":"unknown"/);
    }
  });

  it("with an idempotency key return the stored response without a second run", async () => {
    const book = (key: string, body: string): Promise<string> =>
      send(createRequest("POST /app/book", [
        `Idempotency-Key: ${key}`,
        `Content-Length: ${body.length}`,
      ], body));
    deployment.app.createResponse = () =>
      "HTTP/1.1 201 Created\r\nX-Seat: 7\r\nContent-Length: 2\r\n\r\nok";
    const first = await book("k1", "trial");
    expect(first).toMatch(/^HTTP\/1.1 201 [^]*X-Seat: 7[^]*\r\n\r\nok$/);
    const repeated = await book("k1", "trial");
    expect(repeated).toMatch(/^HTTP\/1.1 201 [^]*X-Seat: 7[^]*\r\n\r\nok$/);
    expect(await book("k1", "other")).toMatch(
      /^HTTP\/1.1 422 [^]*"outcome":"not-run"/,
    );
    deployment.app.createResponse = () =>
      `HTTP/1.1 200 OK\r\nContent-Length: 9000\r\n\r\n${"x".repeat(9_000)}`;
    expect(await book("k2", "large")).toMatch(/^HTTP\/1.1 200 /);
    expect(await book("k2", "large")).toMatch(
      /^HTTP\/1.1 410 [^]*"outcome":"interrupted"/,
    );
    expect(deployment.app.connections.length).toBe(2);
  });

  it("end as not-run if the app service refuses connections", async () => {
    deployment.app.close();
    const response = await send(
      createRequest("POST /app/p", ["Content-Length: 0"]),
    );
    expect(response).toMatch(/"outcome":"not-run"/);
  });
});

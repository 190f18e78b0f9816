import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import type { AddressInfo } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import {
  connect,
  type ConnectionOptions,
  createServer,
  type Server,
} from "node:tls";
import { generate } from "selfsigned";
import { ManualClock } from "../../../base/common/clock.ts";
import { asId, type HostId } from "../../../base/common/ids.ts";
import { leftOf } from "../../../base/common/result.ts";
import { MemoryLogger } from "../../log/common/logger.ts";
import { TLS_RELOAD_PERIOD_MS, TlsCredentials } from "./tls_credentials.ts";

interface KeyPair {
  readonly cert: string;
  readonly key: string;
}

async function createAuthority(): Promise<KeyPair> {
  const generated = await generate(
    [{ name: "commonName", value: "authority" }],
    {
      keyType: "ec",
      algorithm: "sha256",
      extensions: [
        { name: "basicConstraints", cA: true },
        { name: "keyUsage", keyCertSign: true, digitalSignature: true },
      ],
    },
  );
  return { cert: generated.cert, key: generated.private };
}

async function createCertificate(
  name: string,
  ca?: KeyPair,
): Promise<KeyPair> {
  const generated = await generate([{ name: "commonName", value: name }], {
    keyType: "ec",
    algorithm: "sha256",
    extensions: [{
      name: "subjectAltName",
      altNames: [{ type: 2, value: name }],
    }],
    ...(ca ? { ca } : {}),
  });
  return { cert: generated.cert, key: generated.private };
}

/** @returns Common name of the server, or `refused`. */
async function getServerName(
  server: Server,
  options: ConnectionOptions,
): Promise<string> {
  const { port } = server.address() as AddressInfo;
  const socket = connect({ ...options, host: "127.0.0.1", port });
  return await new Promise((resolve) => {
    socket.on("error", () => resolve("refused"));
    // With TLS 1.3 a refusal of the client comes after the handshake.
    socket.on("data", () => {
      resolve(String(socket.getPeerCertificate().subject.CN));
      socket.destroy();
    });
    socket.on("close", () => resolve("refused"));
  });
}

describe("certificates from files", () => {
  const host = asId<HostId>("lalitpur-1");
  const clock = new ManualClock();
  const logger = new MemoryLogger();
  let directory = "";
  let ca: KeyPair;
  let credentials: TlsCredentials;
  let server: Server;

  const pathsOf = (name: string): { certFile: string; keyFile: string } => ({
    certFile: join(directory, `${name}.crt`),
    keyFile: join(directory, `${name}.key`),
  });
  const write = (name: string, { cert, key }: KeyPair): void => {
    writeFileSync(pathsOf(name).certFile, cert);
    writeFileSync(pathsOf(name).keyFile, key);
  };
  const load = (name: string): TlsCredentials =>
    TlsCredentials.load({ clock, logger }, {
      ...pathsOf(name),
      caFile: pathsOf("ca").certFile,
    }).unsafeCoerce();

  beforeEach(async () => {
    directory = mkdtempSync(join(tmpdir(), "tls-files-"));
    ca = await createAuthority();
    write("ca", ca);
    write("server", await createCertificate(host, ca));
    credentials = load("server");
    server = createServer(credentials.serverOptions(), (socket) => {
      socket.on("error", () => undefined);
      socket.end("hello");
    });
    server.on("tlsClientError", () => undefined);
    credentials.follow(server);
    await new Promise<void>((done) => server.listen(0, "127.0.0.1", done));
  });
  afterEach(() => {
    credentials.dispose();
    server.close();
    rmSync(directory, { recursive: true });
  });

  it("let in only hosts of the same authority, and only by their names", async () => {
    write("peer", await createCertificate("lalitpur-2", ca));
    write("foreign", await createCertificate("lalitpur-2"));
    const peer = load("peer");
    const foreign = load("foreign");
    expect(await getServerName(server, peer.clientOptions(host))).toBe(host);
    expect(await getServerName(server, foreign.clientOptions(host)))
      .toBe("refused");
    expect(await getServerName(server, { ca: ca.cert, servername: host }))
      .toBe("refused");
    const other = asId<HostId>("lalitpur-9");
    expect(await getServerName(server, peer.clientOptions(other)))
      .toBe("refused");
    peer.dispose();
    foreign.dispose();
  });

  it("come into force without a restart, once they fit together", async () => {
    const renewed = await createCertificate("renewed", ca);
    const client = (name: string): ConnectionOptions => ({
      ...credentials.clientOptions(asId<HostId>(name)),
    });
    writeFileSync(pathsOf("server").certFile, renewed.cert);
    clock.advance(TLS_RELOAD_PERIOD_MS);
    expect(logger.events).toContain("tls-reload-failed");
    expect(await getServerName(server, client(host))).toBe(host);
    write("server", renewed);
    clock.advance(TLS_RELOAD_PERIOD_MS);
    expect(logger.events).toContain("tls-reloaded");
    expect(await getServerName(server, client("renewed"))).toBe("renewed");
    expect(await getServerName(server, client(host))).toBe("refused");
  });

  it("are refused with the file that is wrong", () => {
    const paths = { ...pathsOf("server"), keyFile: pathsOf("ca").keyFile };
    const error = leftOf(TlsCredentials.load({ clock, logger }, paths));
    expect(error?.peer).toBe(paths.certFile);
    expect(error?.message).not.toContain("PRIVATE KEY");
  });
});

import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { generate } from "selfsigned";
import { sleep } from "../../src/base/common/clock.ts";
import {
  type Address,
  asId,
  type HostId,
  type ZoneName,
} from "../../src/base/common/ids.ts";
import { SystemClock } from "../../src/base/node/system_clock.ts";
import { NOOP_LOGGER } from "../../src/services/log/common/logger.ts";
import { WsPeerLinks } from "../../src/services/peers/node/ws_peer_links.ts";
import { TlsCredentials } from "../../src/services/tls/node/tls_credentials.ts";

const clock = new SystemClock();
const certificateFolder = mkdtempSync(join(tmpdir(), "ragwort-peer-tls-"));
const MAX_POLLS = 600;
const POLL_INTERVAL_MS = 5;

interface KeyPair {
  readonly cert: string;
  readonly key: string;
}

async function createCertificate(name: string, ca?: KeyPair): Promise<KeyPair> {
  const generated = await generate([{ name: "commonName", value: name }], {
    keyType: "ec",
    algorithm: "sha256",
    extensions: ca
      ? [{ name: "subjectAltName", altNames: [{ type: 2, value: name }] }]
      : [
        { name: "basicConstraints", cA: true },
        { name: "keyUsage", keyCertSign: true, digitalSignature: true },
      ],
    ...(ca ? { ca } : {}),
  });
  return { cert: generated.cert, key: generated.private };
}

/** Creates a host with a certificate that is issued for `certifiedName`. */
async function createHost(
  host: string,
  certifiedName: string,
  authority: KeyPair,
) {
  const { cert, key } = await createCertificate(certifiedName, authority);
  const pathOf = (kind: string) =>
    join(certificateFolder, `${host}.${kind}.pem`);
  writeFileSync(pathOf("cert"), cert);
  writeFileSync(pathOf("key"), key);
  writeFileSync(pathOf("ca"), authority.cert);
  const tls = TlsCredentials.load({ clock, logger: NOOP_LOGGER }, {
    certFile: pathOf("cert"),
    keyFile: pathOf("key"),
    caFile: pathOf("ca"),
  }).unsafeCoerce();
  const self = { host: asId<HostId>(host), zone: asId<ZoneName>("zone") };
  const links = new WsPeerLinks({
    clock,
    logger: NOOP_LOGGER,
    self: { ...self, incarnation: 1 },
    secret: "secret of the peers",
    seed: 1,
    tls,
  });
  const address = await links.listen(asId<Address>("127.0.0.1:0"));
  const dispose = (): void => {
    links.dispose();
    tls.dispose();
  };
  return { links, peer: { ...self, address }, dispose };
}

async function connectHosts(certifiedName: string, isSameAuthority: boolean) {
  const authority = await createCertificate("authority");
  const remoteAuthority = isSameAuthority
    ? authority
    : await createCertificate("authority");
  const localHost = await createHost("host-1", "host-1", authority);
  const remoteHost = await createHost("host-2", certifiedName, remoteAuthority);
  localHost.links.setPeers([remoteHost.peer]);
  for (let poll = 0; poll < MAX_POLLS; poll++) {
    if (localHost.links.connectedHosts().length > 0) break;
    await sleep(clock, POLL_INTERVAL_MS);
  }
  const connected = [...localHost.links.connectedHosts()];
  localHost.dispose();
  remoteHost.dispose();
  return connected;
}

describe("peer links over TLS", () => {
  afterAll(() => rmSync(certificateFolder, { recursive: true }));

  it("connect hosts with certificates of the same authority", async () => {
    expect(await connectHosts("host-2", true)).toEqual(["host-2"]);
  });

  it("reject a host whose certificate names another host", async () => {
    expect(await connectHosts("host-3", true)).toEqual([]);
  });

  it("reject a host with a certificate of another authority", async () => {
    expect(await connectHosts("host-2", false)).toEqual([]);
  });
});

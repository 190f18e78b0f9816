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
  const made = await generate([{ name: "commonName", value: name }], {
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
  return { cert: made.cert, key: made.private };
}

/** Links of a host whose certificate names `certified`. */
async function createHost(host: string, certified: string, authority: KeyPair) {
  const { cert, key } = await createCertificate(certified, authority);
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

async function connectHosts(certified: string, isSameAuthority: boolean) {
  const authority = await createCertificate("authority");
  const other = isSameAuthority
    ? authority
    : await createCertificate("authority");
  const near = await createHost("host-1", "host-1", authority);
  const far = await createHost("host-2", certified, other);
  near.links.setPeers([far.peer]);
  for (let turn = 0; turn < MAX_POLLS; turn++) {
    if (near.links.connectedHosts().length > 0) break;
    await sleep(clock, POLL_INTERVAL_MS);
  }
  const connected = [...near.links.connectedHosts()];
  near.dispose();
  far.dispose();
  return connected;
}

describe("links over TLS", () => {
  afterAll(() => rmSync(certificateFolder, { recursive: true }));

  it("come up between hosts of one authority", async () => {
    expect(await connectHosts("host-2", true)).toEqual(["host-2"]);
  });

  it("do not come up with a host that its certificate does not name", async () => {
    expect(await connectHosts("host-3", true)).toEqual([]);
  });

  it("do not come up with a host of another authority", async () => {
    expect(await connectHosts("host-2", false)).toEqual([]);
  });
});

/**
 * Entries of other writers beside those of endpoints: ids that no request can
 * name, and fields of other types or sizes. None names an endpoint to use.
 */

import type { SeededRandom } from "../src/base/common/random.ts";

const IDS = [
  "",
  " ",
  "odd 1",
  "odd\t2",
  "odd\r\nx: y",
  "odd\u0000",
  "\u65e5\u672c",
  "__proto__",
  "constructor",
  "../odd",
  "odd,3",
  "odd-4",
  "e".repeat(190),
] as const;

/** Nothing listens there, or it is no address at all. */
const ADDRESSES = [
  "127.0.0.1:1",
  "127.000.000.089:8601",
  "[:]:9",
  "[::ffff:127.0.0.1]:1",
  "[fe80::1%lo]:1",
  "255.255.255.255:1",
  "127.0.0.1:0",
  "127.0.0.1:70000",
  "host:80",
] as const;

const VALUES = [
  1e308,
  9e15,
  2 ** 32,
  -1,
  0,
  0.5,
  "",
  "x\r\ny: z",
  "__proto__",
  "v".repeat(5_000),
  null,
  true,
  [],
  {},
] as const;
const FIELDS = [
  "service",
  "zone",
  "version",
  "slots",
  "state",
  "cold-left-ms",
  "born",
  "seq",
] as const;
const NOT_JSON_SHARE = 0.1;
const MAX_ODD_FIELDS = 2;

/** An entry of another writer. */
export interface OddEntry {
  readonly id: string;
  readonly text: string;
}

/**
 * @param random - Source of the choices.
 * @param service - A service that callers use.
 * @param zone - A zone of the daemons.
 * @returns An entry that differs from a sound one in its id, its address and up
 * to two other fields.
 */
export function drawOddEntry(
  random: SeededRandom,
  service: string,
  zone: string,
): OddEntry {
  const pick = <T>(choices: readonly T[]): T =>
    choices[Math.floor(random.float() * choices.length)]!;
  const id = pick(IDS);
  const entry: Record<string, unknown> = {
    service,
    address: pick(ADDRESSES),
    zone,
    version: "v1",
    slots: 8,
    state: "ready",
    "cold-left-ms": 0,
    born: Date.now(),
  };
  const oddCount = Math.floor(random.float() * (MAX_ODD_FIELDS + 1));
  for (let count = 0; count < oddCount; count++) {
    entry[pick(FIELDS)] = pick(VALUES);
  }
  const isJson = random.float() >= NOT_JSON_SHARE;
  return { id, text: isJson ? JSON.stringify(entry) : "\u0000 no JSON" };
}

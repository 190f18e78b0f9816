/** Entries of hosts in the store: who is there and where peers reach it. */

import * as z from "zod";
import { toErrorMessage } from "../../../base/common/errors.ts";
import type { HostId, ZoneName } from "../../../base/common/ids.ts";
import {
  attempt,
  type Either,
  Left,
  Right,
} from "../../../base/common/result.ts";
import type { FleetHost } from "../../peers/common/link_planner.ts";
import {
  addressSchema,
  nameSchema,
} from "../../settings/common/shared_schemas.ts";

/** Prefix of the entries; the rest of a key is the host's name. */
export const HOST_KEY_PREFIX = "ragwort/hosts/";

const entrySchema = z.object({
  host: nameSchema.transform((text) => text as HostId),
  zone: nameSchema.transform((text) => text as ZoneName),
  address: addressSchema,
  capacity: z.number().nonnegative(),
});

/** @returns The value of a host's entry. */
export function encodeHostEntry(entry: FleetHost): Uint8Array {
  return new TextEncoder().encode(JSON.stringify(entry));
}

/**
 * @param bytes - Value of an entry.
 * @returns The host, or what is wrong with the entry.
 */
export function decodeHostEntry(
  bytes: Uint8Array,
): Either<string, FleetHost> {
  return attempt<string, unknown>(
    () => JSON.parse(new TextDecoder().decode(bytes)) as unknown,
    (thrown) => toErrorMessage(thrown),
  ).chain(parseFleetHost);
}

/**
 * @param value - A host's entry that was decoded already.
 * @returns The checked entry.
 */
export function parseFleetHost(value: unknown): Either<string, FleetHost> {
  const parsed = entrySchema.safeParse(value);
  return parsed.success ? Right(parsed.data) : Left(parsed.error.message);
}

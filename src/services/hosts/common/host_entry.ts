/**
 * Entries of the hosts in the store, in which each daemon publishes its host,
 * zone, capacity and the address at which peers reach it.
 */

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

/** Prefix of the keys of host entries; the rest of a key is the host name. */
export const HOST_KEY_PREFIX = "ragwort/hosts/";

const entrySchema = z.object({
  host: nameSchema.transform((text) => text as HostId),
  zone: nameSchema.transform((text) => text as ZoneName),
  address: addressSchema,
  capacity: z.number().nonnegative(),
  relayAddress: addressSchema.optional(),
}).transform(({ relayAddress, ...host }): FleetHost =>
  relayAddress === undefined ? host : { ...host, relayAddress }
);

/** @returns The encoded value of a host entry. */
export function encodeHostEntry(entry: FleetHost): Uint8Array {
  return new TextEncoder().encode(JSON.stringify(entry));
}

/**
 * @param bytes - The value of a host entry.
 * @returns The host, or a description of why the entry is invalid.
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
 * @param value - A host entry that has been parsed from JSON.
 * @returns The validated host, or a description of why the entry is invalid.
 */
export function parseFleetHost(value: unknown): Either<string, FleetHost> {
  const parsed = entrySchema.safeParse(value);
  return parsed.success ? Right(parsed.data) : Left(parsed.error.message);
}

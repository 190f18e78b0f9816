/** Parts that several schemas share. */

import * as z from "zod";
import type { Brand } from "../../../base/common/brand.ts";
import { type Address, asId } from "../../../base/common/ids.ts";

const NAME_PATTERN = /^[a-z0-9][a-z0-9_.-]{0,62}$/;
const ADDRESS_PATTERN = /^((\d{1,3}\.){3}\d{1,3}|\[[0-9a-fA-F:]+\]):\d{1,5}$/;
const MAX_PORT = 65_535;
/** Ids are names of the store's keys, or made of a few such names. */
export const MAX_ID_LENGTH = 500;

/** @returns The schema of an id. */
export function idSchema<T extends Brand<string, string>>(): z.ZodType<T> {
  return z.string().min(1).max(MAX_ID_LENGTH)
    .transform((text) => asId<T>(text)) as unknown as z.ZodType<T>;
}

/** A name of a host, zone, team, workspace, service or class. */
export const nameSchema = z.string().regex(
  NAME_PATTERN,
  "must be 1 to 63 of a-z, 0-9, '-', '_' and '.', starting with a letter or digit",
);

/** An address by IP number, `ip:port`. */
export const addressSchema: z.ZodType<Address, string> = z.string()
  .regex(ADDRESS_PATTERN, {
    message: "must be an IP number and a port, as 10.0.0.1:8080",
    abort: true,
  })
  .refine(
    hasValidAddressRange,
    "has a number out of range, as in 10.0.0.1:8080",
  )
  .transform((text) => text as Address);

function hasValidAddressRange(address: string): boolean {
  const { ip, port } = splitAddress(address as Address);
  if (port > MAX_PORT) return false;
  return ip.includes(":") ||
    ip.split(".").every((part) => Number(part) <= 255);
}

/** An address in its two parts. */
export interface AddressParts {
  readonly ip: string;
  readonly port: number;
}

/**
 * Splits an address.
 *
 * @param address - `ip:port`, an IPv6 number in brackets.
 * @returns The IP number without brackets, and the port.
 */
export function splitAddress(address: Address): AddressParts {
  const colonIndex = address.lastIndexOf(":");
  return {
    ip: address.slice(0, colonIndex).replace(/^\[|\]$/g, ""),
    port: Number(address.slice(colonIndex + 1)),
  };
}

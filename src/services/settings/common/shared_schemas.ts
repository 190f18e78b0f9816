/** Schemas of ids, names and addresses that several documents share. */

import * as z from "zod";
import type { Brand } from "../../../base/common/brand.ts";
import { type Address, asId } from "../../../base/common/ids.ts";

const NAME_PATTERN = /^[a-z0-9][a-z0-9_.-]{0,62}$/;
const ADDRESS_PATTERN = /^((\d{1,3}\.){3}\d{1,3}|\[[0-9a-fA-F:]+\]):\d{1,5}$/;
const MAX_PORT = 65_535;
/** Ids are parts of store keys, or consist of several such parts. */
export const MAX_ID_LENGTH = 500;

/** @returns The schema of ids of type `T`. */
export function idSchema<T extends Brand<string, string>>(): z.ZodType<T> {
  return z.string().min(1).max(MAX_ID_LENGTH)
    .transform((text) => asId<T>(text)) as unknown as z.ZodType<T>;
}

/** Name of a host, zone, team, workspace, service or class. */
export const nameSchema = z.string().regex(
  NAME_PATTERN,
  "must be 1 to 63 characters of a-z, 0-9, '-', '_' and '.', starting with a letter or digit",
);

/** Address with a numeric IP address, in the form `ip:port`. */
export const addressSchema: z.ZodType<Address, string> = z.string()
  .regex(ADDRESS_PATTERN, {
    message: "must be an IP address and a port, such as 10.0.0.1:8080",
    abort: true,
  })
  .refine(
    hasValidAddressRange,
    "must have numbers in range, such as 10.0.0.1:8080",
  )
  .transform((text) => text as Address);

function hasValidAddressRange(address: string): boolean {
  const { ip, port } = splitAddress(address as Address);
  if (port > MAX_PORT) return false;
  return ip.includes(":") ||
    ip.split(".").every((part) => Number(part) <= 255);
}

/** Parts of an address. */
export interface AddressParts {
  readonly ip: string;
  readonly port: number;
}

/**
 * Splits an address into its IP address and port.
 *
 * @param address - Address in the form `ip:port`; IPv6 addresses in brackets.
 * @returns The IP address without brackets, and the port.
 */
export function splitAddress(address: Address): AddressParts {
  const colonIndex = address.lastIndexOf(":");
  return {
    ip: address.slice(0, colonIndex).replace(/^\[|\]$/g, ""),
    port: Number(address.slice(colonIndex + 1)),
  };
}

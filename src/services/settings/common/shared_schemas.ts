/** Schemas of ids, names and addresses that several documents share. */

import * as z from "zod";
import type { Brand } from "../../../base/common/brand.ts";
import { type Address, asId } from "../../../base/common/ids.ts";

const NAME_PATTERN = /^[a-z0-9][a-z0-9_.-]{0,62}$/;
const ADDRESS_PATTERN = /^(?:([\d.]+)|\[([0-9a-fA-F:]+)\]):(0|[1-9]\d{0,4})$/;
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

/**
 * Address to which connections can be opened, in the form `ip:port`: an IPv4
 * address or an IPv6 address in brackets, and a port from 1 to 65535. Numbers
 * have no leading zeros.
 */
export const addressSchema = createAddressSchema(1);

/** Address to listen on; port 0 stands for any free port. */
export const listenAddressSchema = createAddressSchema(0);

function createAddressSchema(minPort: number): z.ZodType<Address, string> {
  return z.string()
    .refine((text) => isAddress(text, minPort), {
      error: "must be an IP address and a port, such as 10.0.0.1:8080",
    })
    .transform((text) => text as Address);
}

function isAddress(text: string, minPort: number): boolean {
  const [isMatch, ipv4, ipv6, portText] = ADDRESS_PATTERN.exec(text) ?? [];
  if (isMatch === undefined) return false;
  const port = Number(portText);
  if (port < minPort || port > MAX_PORT) return false;
  return ipv4 === undefined
    ? z.regexes.ipv6.test(ipv6 ?? "")
    : z.regexes.ipv4.test(ipv4);
}

/**
 * @param itemSchema - Schema of the items.
 * @param maxLength - Maximum number of items, with the invalid ones.
 * @returns The schema of a list whose invalid items are left out.
 */
export function validItemsSchema<T>(
  itemSchema: z.ZodType<T>,
  maxLength: number,
): z.ZodType<T[]> {
  return z.array(z.unknown()).max(maxLength).transform((items) =>
    items.flatMap((item) => {
      const parsed = itemSchema.safeParse(item);
      return parsed.success ? [parsed.data] : [];
    })
  );
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

/** The list's form: JSON of Prometheus' HTTP service discovery. */

import * as z from "zod";
import {
  asId,
  type EndpointId,
  type HostId,
  type ServiceId,
  type ZoneName,
} from "../../../base/common/ids.ts";
import { type Either, Left, Right } from "../../../base/common/result.ts";
import {
  addressSchema,
  nameSchema,
} from "../../settings/common/shared_schemas.ts";
import type { HostListEntry } from "./host_list.ts";

const groupSchema = z.object({
  targets: z.array(addressSchema).min(1),
  labels: z.object({
    zone: nameSchema,
    state: z.enum(["live", "leaving"]),
    role: z.enum(["entry", "endpoint"]),
    host: nameSchema.optional(),
    service: z.string().min(1).optional(),
    endpoint: nameSchema.optional(),
  }),
});

/**
 * @param json - The list as it was read.
 * @returns Its hosts without the malformed ones, or what is wrong with all.
 */
export function parseHostList(
  json: unknown,
): Either<string, readonly HostListEntry[]> {
  if (!Array.isArray(json)) return Left("the host list is not a list");
  return Right((json as readonly unknown[]).flatMap(parseGroup));
}

function parseGroup(group: unknown): HostListEntry[] {
  const parsed = groupSchema.safeParse(group);
  if (!parsed.success) return [];
  const { targets, labels } = parsed.data;
  const { host, service, endpoint } = labels;
  const common = {
    zone: asId<ZoneName>(labels.zone),
    address: targets[0]!,
    isLeaving: labels.state === "leaving",
  };
  if (labels.role === "entry") {
    if (host === undefined) return [];
    return [{ role: "entry", ...common, host: asId<HostId>(host) }];
  }
  if (service === undefined || endpoint === undefined) return [];
  return [{
    role: "endpoint",
    ...common,
    service: asId<ServiceId>(service),
    endpoint: asId<EndpointId>(endpoint),
  }];
}

/** Messages by which hosts tell each other which direct paths they have lost. */

import * as z from "zod";
import type { Address, HostId } from "../../../base/common/ids.ts";
import { Left, Right } from "../../../base/common/result.ts";
import type { PeerChannelSpec } from "../../../services/peers/common/peer_links.ts";
import {
  addressSchema,
  nameSchema,
  validItemsSchema,
} from "../../../services/settings/common/shared_schemas.ts";

const MAX_ROWS = 2_000;
const MAX_ADDRESSES = 2_000;

/** The lost direct paths of one host. */
export interface LostPathRow {
  readonly host: HostId;
  /** Grows with each change, across restarts of the host too. */
  readonly revision: number;
  readonly lost: readonly Address[];
}

const rowSchema = z.object({
  host: nameSchema.transform((text) => text as HostId),
  revision: z.number().nonnegative(),
  lost: validItemsSchema(addressSchema, MAX_ADDRESSES),
});
const rowsSchema = z.array(rowSchema).max(MAX_ROWS);

/** Channel of the rows. */
export const LOST_PATH_CHANNEL: PeerChannelSpec<readonly LostPathRow[]> = {
  name: "paths.v1",
  decode: (body) => {
    const parsed = rowsSchema.safeParse(body);
    return parsed.success ? Right(parsed.data) : Left(parsed.error.message);
  },
};

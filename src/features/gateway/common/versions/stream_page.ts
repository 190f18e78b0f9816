/** Form in which streams are sent to peers and kept in the store. */

import * as z from "zod";
import type { ServiceId, WorkspaceId } from "../../../../base/common/ids.ts";
import type { StreamVersion } from "./stream_versions.ts";

const MAX_NAME_CHARACTERS = 500;
/** Maximum number of streams in one message or entry. */
export const MAX_STREAMS_PER_PAGE = 200;

const name = z.string().max(MAX_NAME_CHARACTERS);

/** Rows of id, workspace, service, software version and time left in ms. */
export const streamPageSchema = z.array(z.tuple([
  name.min(1),
  name,
  name.min(1),
  name,
  z.number().nonnegative(),
])).max(MAX_STREAMS_PER_PAGE).readonly();

/** One stream. */
export type StreamRow = z.infer<typeof streamPageSchema>[number];

/** @returns The row of a stream at a monotonic time in milliseconds. */
export function toStreamRow(stream: StreamVersion, nowMs: number): StreamRow {
  return [
    stream.id,
    stream.workspace,
    stream.service,
    stream.softwareVersion,
    Math.max(0, Math.round(stream.expiresMs - nowMs)),
  ];
}

/** @returns The stream of a row that arrived at a monotonic time. */
export function toStream(
  [id, workspace, service, softwareVersion, leftMs]: StreamRow,
  nowMs: number,
): StreamVersion {
  return {
    id,
    workspace: workspace as WorkspaceId,
    service: service as ServiceId,
    softwareVersion,
    expiresMs: nowMs + leftMs,
  };
}

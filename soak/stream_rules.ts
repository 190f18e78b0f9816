/**
 * Checks the events of streams as callers received them, in complete and in
 * broken answers.
 */

/** What a caller received of one try. */
export interface ReceivedStream {
  /** Id of the try. */
  readonly id: string;
  readonly text: string;
  /** Whether the answer looks complete. */
  readonly looksComplete: boolean;
  /** Number of the event after which the try takes the stream up. */
  readonly afterEvent: number;
  /** Number of the last event of the stream. */
  readonly eventCount: number;
  /** Whether another run may go on after the events of one. */
  readonly isResumable: boolean;
}

const EVENT = /^id: (\d+)\ndata: piece (\d+) of (\d+) by (\S+)@(\S+)$/;
const EVENT_END = "\n\n";

/**
 * Checks the events of one answer.
 *
 * @param stream - What the caller received.
 * @returns What is wrong, or `undefined`.
 */
export function findStreamViolation(
  stream: ReceivedStream,
): string | undefined {
  const { afterEvent, eventCount, id, isResumable, looksComplete } = stream;
  const frames = stream.text.split(EVENT_END);
  const rest = frames.pop()!;
  const runs: string[] = [];
  let last = afterEvent;
  for (const frame of frames) {
    const [, number, piece, total, request, run] = EVENT.exec(frame) ?? [];
    if (run === undefined) return `order: ${JSON.stringify(frame)}, no event`;
    if (request !== id) return `mixed: event ${number} is of ${request}`;
    if (Number(number) !== last + 1 || piece !== number) {
      return `order: event ${number} (piece ${piece}) follows ${last}`;
    }
    if (Number(total) !== eventCount || Number(number) > eventCount) {
      return `order: event ${number} is of a stream of ${total}`;
    }
    last = Number(number);
    if (runs.at(-1) !== run) runs.push(run);
  }
  if (runs.length > 1 && !isResumable) {
    return `order: pieces of the runs ${runs.join()}`;
  }
  if (new Set(runs).size < runs.length) {
    return `order: pieces of the runs ${runs.join()} in turns`;
  }
  if (!looksComplete) return undefined;
  if (rest !== "") return `order: ends inside event ${last + 1}`;
  return last === eventCount
    ? undefined
    : `order: ends as complete after event ${last} of ${eventCount}`;
}

/** Splits documents into parts below the limit of a frame, and joins them. */

import type { HostId, TeamName } from "../../../base/common/ids.ts";
import {
  type ConfigurationPart,
  MAX_PART_CHARACTERS,
} from "./configuration_messages.ts";
import type { TeamDocumentText } from "./configuration_replica.ts";

/**
 * @param document - A team's document.
 * @returns Its parts, at least one.
 */
export function splitDocument(document: TeamDocumentText): ConfigurationPart[] {
  const { team, revision } = document;
  const text = document.text ?? "";
  const count = Math.max(1, Math.ceil(text.length / MAX_PART_CHARACTERS));
  return Array.from({ length: count }, (_, index) => ({
    kind: "part",
    team,
    revision,
    isDeleted: document.text === undefined,
    index,
    count,
    text: text.slice(
      index * MAX_PART_CHARACTERS,
      (index + 1) * MAX_PART_CHARACTERS,
    ),
  }));
}

interface PartialDocument {
  readonly from: HostId;
  readonly revision: number;
  readonly texts: string[];
}

/** Joins parts; links keep the order, so a gap means that a link broke. */
export class PartAssembler {
  readonly #partial = new Map<TeamName, PartialDocument>();

  /**
   * @param from - Who sent the part.
   * @param part - The part.
   * @returns The document, once its last part came.
   */
  add(from: HostId, part: ConfigurationPart): TeamDocumentText | undefined {
    const { team, revision, index, count, isDeleted } = part;
    if (index === 0) this.#partial.set(team, { from, revision, texts: [] });
    const partial = this.#partial.get(team);
    const isNext = partial?.from === from && partial.revision === revision &&
      partial.texts.length === index;
    if (!isNext) return undefined;
    partial.texts.push(part.text);
    if (partial.texts.length < count) return undefined;
    this.#partial.delete(team);
    const text = isDeleted ? undefined : partial.texts.join("");
    return { team, revision, text };
  }
}

/**
 * Differences between two byte strings, as a list of copies from the earlier
 * one and of new bytes.
 */

import { type Either, Left, Right } from "./result.ts";

/**
 * A step of a patch: new bytes, or the offset and length of bytes to copy from
 * the base.
 */
export type PatchStep =
  | Uint8Array
  | readonly [offsetBytes: number, lengthBytes: number];

/** Steps that yield the target from the base, in order. */
export type BytePatch = readonly PatchStep[];

/** Length of the base's blocks, and of the shortest copy. */
const BLOCK_BYTES = 32;
const TABLE_BITS = 15;
const HASH_FACTOR = 0x01000193;
/** Power of the factor by which the oldest byte of a block is weighted. */
const OLDEST_WEIGHT = powerOf(HASH_FACTOR, BLOCK_BYTES - 1);

/**
 * Computes a patch in time proportional to the size of both byte strings.
 *
 * @param base - The earlier bytes.
 * @param target - The later bytes.
 * @returns Steps that yield the target from the base.
 */
export function createPatch(base: Uint8Array, target: Uint8Array): BytePatch {
  const steps: PatchStep[] = [];
  const blocks = indexBlocks(base);
  const lastStart = target.byteLength - BLOCK_BYTES;
  let literalStart = 0;
  let start = 0;
  let hash = start <= lastStart ? hashBlock(target, 0) : 0;
  /** Distance from the target to the base in the last copy. */
  let shift = 0;
  while (start <= lastStart) {
    // An edit that keeps the length leaves the distance as it was, and equal
    // blocks elsewhere must not be taken for the one that follows.
    const candidate = isSameBlock(base, start + shift, target, start)
      ? start + shift
      : blocks[slotOf(hash)]!;
    if (!isSameBlock(base, candidate, target, start)) {
      if (start < lastStart) hash = rollHash(hash, target, start);
      start++;
      continue;
    }
    let copyStart = start;
    let baseStart = candidate;
    while (
      copyStart > literalStart && baseStart > 0 &&
      base[baseStart - 1] === target[copyStart - 1]
    ) {
      copyStart--;
      baseStart--;
    }
    let copyEnd = start + BLOCK_BYTES;
    let baseEnd = candidate + BLOCK_BYTES;
    while (
      copyEnd < target.byteLength && baseEnd < base.byteLength &&
      base[baseEnd] === target[copyEnd]
    ) {
      copyEnd++;
      baseEnd++;
    }
    if (copyStart > literalStart) {
      steps.push(target.subarray(literalStart, copyStart));
    }
    steps.push([baseStart, baseEnd - baseStart]);
    shift = baseEnd - copyEnd;
    literalStart = copyEnd;
    start = copyEnd;
    if (start <= lastStart) hash = hashBlock(target, start);
  }
  if (literalStart < target.byteLength) {
    steps.push(target.subarray(literalStart));
  }
  return steps;
}

/**
 * @param base - The bytes that the patch was computed from.
 * @param patch - The patch.
 * @param maxBytes - Largest result.
 * @returns The target, or why the patch does not fit the base.
 */
export function applyPatch(
  base: Uint8Array,
  patch: BytePatch,
  maxBytes: number,
): Either<string, Uint8Array> {
  let sizeBytes = 0;
  for (const step of patch) sizeBytes += stepBytes(step);
  if (sizeBytes > maxBytes) return Left("the result of a patch is too large");
  const target = new Uint8Array(sizeBytes);
  let end = 0;
  for (const step of patch) {
    if (step instanceof Uint8Array) target.set(step, end);
    else {
      const [offsetBytes, lengthBytes] = step;
      if (offsetBytes + lengthBytes > base.byteLength) {
        return Left("a patch copies bytes past the end of its base");
      }
      target.set(base.subarray(offsetBytes, offsetBytes + lengthBytes), end);
    }
    end += stepBytes(step);
  }
  return Right(target);
}

/** @returns Number of bytes that a patch takes in a message, about. */
export function patchBytes(patch: BytePatch): number {
  const copyBytes = 12;
  return patch.reduce(
    (sum, step) =>
      sum + (step instanceof Uint8Array ? step.byteLength : copyBytes),
    0,
  );
}

/** @returns Whether a received value has the form of a patch. */
export function isPatch(value: unknown): value is BytePatch {
  return Array.isArray(value) &&
    value.every((step: unknown) =>
      step instanceof Uint8Array ||
      (Array.isArray(step) && step.length === 2 &&
        step.every((part) => Number.isSafeInteger(part) && part >= 0))
    );
}

function stepBytes(step: PatchStep): number {
  return step instanceof Uint8Array ? step.byteLength : step[1];
}

function isSameBlock(
  base: Uint8Array,
  baseStart: number,
  target: Uint8Array,
  targetStart: number,
): boolean {
  if (baseStart < 0 || baseStart + BLOCK_BYTES > base.byteLength) return false;
  for (let index = 0; index < BLOCK_BYTES; index++) {
    if (base[baseStart + index] !== target[targetStart + index]) return false;
  }
  return true;
}

/** @returns Start of a block of the base for each slot, or -1. */
function indexBlocks(base: Uint8Array): Int32Array {
  const blocks = new Int32Array(2 ** TABLE_BITS).fill(-1);
  const last = base.byteLength - BLOCK_BYTES;
  for (let start = 0; start <= last; start += BLOCK_BYTES) {
    blocks[slotOf(hashBlock(base, start))] = start;
  }
  return blocks;
}

function hashBlock(bytes: Uint8Array, start: number): number {
  let hash = 0;
  for (let index = start; index < start + BLOCK_BYTES; index++) {
    hash = (Math.imul(hash, HASH_FACTOR) + bytes[index]!) | 0;
  }
  return hash;
}

/** Moves the hash of the block at `start` by one byte. */
function rollHash(hash: number, bytes: Uint8Array, start: number): number {
  const withoutOldest = (hash - Math.imul(bytes[start]!, OLDEST_WEIGHT)) | 0;
  const newest = bytes[start + BLOCK_BYTES]!;
  return (Math.imul(withoutOldest, HASH_FACTOR) + newest) | 0;
}

function slotOf(hash: number): number {
  return Math.imul(hash, 0x9e3779b1) >>> (32 - TABLE_BITS);
}

function powerOf(factor: number, exponent: number): number {
  let power = 1;
  for (let count = 0; count < exponent; count++) {
    power = Math.imul(power, factor);
  }
  return power;
}

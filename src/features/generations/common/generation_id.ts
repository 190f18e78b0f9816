/**
 * Encodes and decodes signed generation ids. An id contains everything that a
 * daemon needs to resume or cancel the generation, so the daemons do not have
 * to share a table of generations.
 */

import {
  asId,
  type EndpointId,
  type GenerationId,
  type HostId,
  type ServiceId,
  type WorkspaceId,
} from "../../../base/common/ids.ts";

/** Fields encoded in a generation id. */
export interface GenerationIdFields {
  readonly service: ServiceId;
  readonly endpoint: EndpointId;
  readonly workspace: WorkspaceId;
  /** Host that started the generation. */
  readonly host: HostId;
  readonly model: string;
  /** Wall-clock start time in milliseconds. */
  readonly startedMs: number;
  readonly nonce: string;
}

/** Signs and verifies texts with a set of rotating keys. */
export interface Signer {
  /** Id of the key used for new signatures. */
  readonly currentKeyId: string;
  /** @returns The signature, or `undefined` if the key is not configured. */
  sign(keyId: string, text: string): string | undefined;
  /** Verifies a signature, comparing in constant time. */
  verify(keyId: string, text: string, signature: string): boolean;
}

const VERSION = "g1";
const FIELD_SEPARATOR = "\n";
const FIELD_COUNT = 7;

/**
 * Encodes and signs a generation id.
 *
 * @param fields - Fields to encode.
 * @param signer - Signer whose current key signs the id.
 * @returns The id, which is safe to use in URLs, headers and SSE fields.
 */
export function encodeGenerationId(
  fields: GenerationIdFields,
  signer: Signer,
): GenerationId {
  const values = [
    fields.service,
    fields.endpoint,
    fields.workspace,
    fields.host,
    fields.model,
    fields.startedMs.toString(36),
    fields.nonce,
  ];
  const payload = Buffer.from(values.join(FIELD_SEPARATOR)).toString(
    "base64url",
  );
  const signedText = `${VERSION}.${signer.currentKeyId}.${payload}`;
  const signature = signer.sign(signer.currentKeyId, signedText) ?? "";
  return asId<GenerationId>(`${signedText}.${signature}`);
}

/**
 * Decodes a generation id and verifies its signature.
 *
 * @param text - Id as sent by a caller.
 * @param signer - Signer that verifies the signature.
 * @returns The decoded fields, or `undefined` if the id is malformed or its
 * signature is invalid.
 */
export function decodeGenerationId(
  text: string,
  signer: Signer,
): GenerationIdFields | undefined {
  const parts = splitId(text);
  if (!parts) return undefined;
  const { keyId, payload, signature } = parts;
  const signedText = `${VERSION}.${keyId}.${payload}`;
  if (!signer.verify(keyId, signedText, signature)) return undefined;
  return parsePayload(payload);
}

interface IdParts {
  readonly keyId: string;
  readonly payload: string;
  readonly signature: string;
}

/** Splits the id from both ends because a key id may contain dots. */
function splitId(text: string): IdParts | undefined {
  const parts = text.split(".");
  const signature = parts.pop();
  const payload = parts.pop();
  const version = parts.shift();
  const keyId = parts.join(".");
  if (version !== VERSION || !signature || !payload || !keyId) return undefined;
  return { keyId, payload, signature };
}

function parsePayload(payload: string): GenerationIdFields | undefined {
  const values = Buffer.from(payload, "base64url").toString()
    .split(FIELD_SEPARATOR);
  if (values.length !== FIELD_COUNT) return undefined;
  const [service, endpoint, workspace, host, model, startedMs, nonce] =
    values as [string, string, string, string, string, string, string];
  return {
    service: asId<ServiceId>(service),
    endpoint: asId<EndpointId>(endpoint),
    workspace: asId<WorkspaceId>(workspace),
    host: asId<HostId>(host),
    model,
    startedMs: parseInt(startedMs, 36),
    nonce,
  };
}

/**
 * Signed ids of generations. An id names all that any daemon needs in order to
 * resume or cancel the generation, so no table is shared between daemons.
 */

import {
  asId,
  type EndpointId,
  type GenerationId,
  type HostId,
  type ServiceId,
  type WorkspaceId,
} from "../../../base/common/ids.ts";

/** What an id names. */
export interface GenerationIdFields {
  readonly service: ServiceId;
  readonly endpoint: EndpointId;
  readonly workspace: WorkspaceId;
  /** Host that started the generation. */
  readonly host: HostId;
  readonly model: string;
  readonly startedMs: number;
  readonly nonce: string;
}

/** Signs texts with a rotated set of keys. */
export interface Signer {
  /** Id of the key that signs new texts. */
  readonly currentKeyId: string;
  /** @returns The signature, or `undefined` when the key is not known. */
  sign(keyId: string, text: string): string | undefined;
  /** Compares in constant time. */
  verify(keyId: string, text: string, signature: string): boolean;
}

const VERSION = "g1";
const FIELD_SEPARATOR = "\n";
const FIELD_COUNT = 7;

/**
 * Makes the signed id of a generation.
 *
 * @param name - What the id names.
 * @param signer - Signs with its current key.
 * @returns The id; it is safe in a URL, a header and an SSE field.
 */
export function encodeGenerationId(
  name: GenerationIdFields,
  signer: Signer,
): GenerationId {
  const fields = [
    name.service,
    name.endpoint,
    name.workspace,
    name.host,
    name.model,
    name.startedMs.toString(36),
    name.nonce,
  ];
  const payload = Buffer.from(fields.join(FIELD_SEPARATOR)).toString(
    "base64url",
  );
  const signed = `${VERSION}.${signer.currentKeyId}.${payload}`;
  const signature = signer.sign(signer.currentKeyId, signed) ?? "";
  return asId<GenerationId>(`${signed}.${signature}`);
}

/**
 * Reads a signed id.
 *
 * @param text - What a caller sent.
 * @param signer - Checks the signature.
 * @returns What the id names, or `undefined` when it is not one of ours.
 */
export function decodeGenerationId(
  text: string,
  signer: Signer,
): GenerationIdFields | undefined {
  const parts = splitId(text);
  if (!parts) return undefined;
  const { keyId, payload, signature } = parts;
  const signed = `${VERSION}.${keyId}.${payload}`;
  if (!signer.verify(keyId, signed, signature)) return undefined;
  return parsePayload(payload);
}

interface IdParts {
  readonly keyId: string;
  readonly payload: string;
  readonly signature: string;
}

/** Splits from both ends, since a key id may contain dots. */
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
  const fields = Buffer.from(payload, "base64url").toString()
    .split(FIELD_SEPARATOR);
  if (fields.length !== FIELD_COUNT) return undefined;
  const [service, endpoint, workspace, host, model, startedMs, nonce] =
    fields as [string, string, string, string, string, string, string];
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

/**
 * Protocol by which a host asks a peer to pass one request on to an endpoint
 * that it cannot reach itself. The request keeps its method, target, headers
 * and body; the fields of the relay travel in headers of their own.
 */

import type {
  Address,
  EndpointId,
  HostId,
  RequestId,
} from "../../../base/common/ids.ts";
import { type Either, Left, Right } from "../../../base/common/result.ts";
import {
  endToEndHeaders,
  type HeaderList,
  headerOf,
  isCloseDelimited,
} from "../../http/common/header_list.ts";

/** Fields that the asking host adds to a request. */
export interface RelayFields {
  readonly from: HostId;
  /** The peer that is asked; addresses can be used again by other hosts. */
  readonly to: HostId;
  readonly endpoint: EndpointId;
  readonly address: Address;
  readonly purpose: "request" | "control";
  readonly requestId: RequestId | undefined;
  /** Time until the response is due, in milliseconds. */
  readonly remainingMs: number;
}

/** Why a peer has not passed a request on. The values appear in the log. */
export type RelayRefusal =
  /** The proof of the shared secret is wrong, or another host was meant. */
  | "forbidden"
  /** The peer does not know the endpoint, or knows that it leaves. */
  | "no-endpoint"
  /**
   * The endpoint wants no requests from the peer now, or the peer knows that its
   * zone is evacuated.
   */
  | "held"
  /** The peer cannot connect to the endpoint either. */
  | "unreachable"
  /** The peer passes on as many requests as it may. */
  | "busy"
  /** The peer stops. */
  | "stopping"
  /** The response was due before the request was sent. */
  | "late"
  /** A part is missing without which the peer can pass nothing on. */
  | "unreadable";

/** What a response of a peer says of the relay. */
export type RelayResult =
  /** The response is the endpoint's. */
  | { readonly kind: "passed-on" }
  /** The endpoint has not got the request. */
  | {
    readonly kind: "not-sent";
    readonly refusal: RelayRefusal;
    /** Time for which the endpoint is to be avoided, if the peer knows it. */
    readonly retryAfterMs: number | undefined;
  }
  /** The request was sent, and there is no response. */
  | { readonly kind: "broken" };

const PREFIX = "ragwort-relay-";
const FROM_HEADER = `${PREFIX}from`;
const TO_HEADER = `${PREFIX}to`;
const ENDPOINT_HEADER = `${PREFIX}endpoint`;
const ADDRESS_HEADER = `${PREFIX}address`;
const PURPOSE_HEADER = `${PREFIX}purpose`;
const REQUEST_HEADER = `${PREFIX}request`;
const REMAINING_HEADER = `${PREFIX}remaining-ms`;
const PROOF_HEADER = `${PREFIX}proof`;
const RESULT_HEADER = `${PREFIX}result`;
const REFUSAL_HEADER = `${PREFIX}refusal`;
const RETRY_AFTER_HEADER = `${PREFIX}retry-after-ms`;
const FRAMING_HEADER = `${PREFIX}framing`;
const END_HEADER = `${PREFIX}end`;
const SENT_HEADER = `${PREFIX}sent`;
/** The connection to the endpoint had not carried the request before. */
const SENT_ONCE = "once";
/** The peer passes the end on only when it has verified it. */
const END_VERIFIED = "verified";

const REFUSALS: readonly RelayRefusal[] = [
  "forbidden",
  "no-endpoint",
  "held",
  "unreachable",
  "busy",
  "stopping",
  "late",
  "unreadable",
];

/** How the endpoint marks the end of its response. */
type Framing = "length" | "chunked" | "close";

/** A relay request as received, before its proof is checked. */
export interface ReceivedRelay {
  readonly fields: RelayFields;
  readonly proof: string;
  /** Headers for the endpoint. */
  readonly headers: readonly string[];
}

/**
 * @param fields - The fields of a relay.
 * @param method - Method of the request.
 * @param target - Path and query of the request.
 * @returns The text that the proof of the shared secret covers.
 */
export function relayProofText(
  fields: RelayFields,
  method: string,
  target: string,
): string {
  const { address, endpoint, from, purpose, remainingMs, requestId, to } =
    fields;
  return JSON.stringify([
    "ragwort-relay",
    from,
    to,
    endpoint,
    address,
    purpose,
    requestId ?? "",
    remainingMs,
    method,
    target,
  ]);
}

/** @returns The headers of a request with those of the relay. */
export function encodeRelayRequest(
  headers: HeaderList,
  fields: RelayFields,
  proof: string,
): string[] {
  const { address, endpoint, from, purpose, remainingMs, requestId, to } =
    fields;
  const encoded = [
    ...withoutRelayHeaders(headers),
    FROM_HEADER,
    from,
    TO_HEADER,
    to,
    ENDPOINT_HEADER,
    endpoint,
    ADDRESS_HEADER,
    address,
    PURPOSE_HEADER,
    purpose,
    REMAINING_HEADER,
    String(remainingMs),
    PROOF_HEADER,
    proof,
  ];
  if (requestId !== undefined) encoded.push(REQUEST_HEADER, requestId);
  return encoded;
}

/** @returns The relay, or a description of what is missing. */
export function decodeRelayRequest(
  received: HeaderList,
): Either<string, ReceivedRelay> {
  const read = (name: string) => headerOf(received, name) ?? "";
  const [from, to] = [read(FROM_HEADER), read(TO_HEADER)];
  const [endpoint, address] = [read(ENDPOINT_HEADER), read(ADDRESS_HEADER)];
  const purpose = read(PURPOSE_HEADER);
  const remainingMs = Number(read(REMAINING_HEADER) || NaN);
  const proof = read(PROOF_HEADER);
  if ([from, to, endpoint, address, proof].includes("")) {
    return Left("a field of the relay is missing");
  }
  if (purpose !== "request" && purpose !== "control") {
    return Left(`unknown purpose ${purpose}`);
  }
  if (!Number.isFinite(remainingMs)) return Left("no remaining time");
  const fields: RelayFields = {
    from: from as HostId,
    to: to as HostId,
    endpoint: endpoint as EndpointId,
    address: address as Address,
    purpose,
    requestId: headerOf(received, REQUEST_HEADER) as RequestId | undefined,
    remainingMs,
  };
  const headers = endToEndHeaders(
    received,
    (name) => name.startsWith(PREFIX) || name === "content-length",
  );
  return Right({ fields, proof, headers });
}

/**
 * @param method - Method of the request.
 * @param status - Status of the endpoint's response.
 * @param received - Headers of that response.
 * @param isNeeded - Whether the asking host needs a header, given its lower-case
 * name, also if the endpoint's `Connection` header lists it.
 * @returns The headers of an endpoint's response with those of the relay.
 */
export function encodeRelayResponse(
  method: string,
  status: number,
  received: HeaderList,
  isNeeded?: (name: string) => boolean,
): string[] {
  return [
    ...endToEndHeaders(received, (name) => name.startsWith(PREFIX), isNeeded),
    RESULT_HEADER,
    "passed-on",
    FRAMING_HEADER,
    framingOf(method, status, received),
    END_HEADER,
    END_VERIFIED,
    SENT_HEADER,
    SENT_ONCE,
  ];
}

/**
 * @param received - The headers of a response that a peer passes back.
 * @returns Whether the peer sends no request twice on a connection to an
 * endpoint. Earlier builds do not say so, and may.
 */
export function isSentOnce(received: HeaderList): boolean {
  return headerOf(received, SENT_HEADER) === SENT_ONCE;
}

/**
 * @param received - The headers of a response that a peer passes back.
 * @returns Whether the end of the response is that of the endpoint's. Earlier
 * builds do not say so, and pass on the end of any connection; a response
 * without chunks may also end with the process of the peer.
 */
export function isEndVerified(received: HeaderList): boolean {
  return headerOf(received, END_HEADER) === END_VERIFIED &&
    headerOf(received, "transfer-encoding") !== undefined;
}

/** @returns The headers of a response of the peer's own. */
export function encodeRelayFailure(
  result: Exclude<RelayResult, { kind: "passed-on" }>,
): string[] {
  const headers = [RESULT_HEADER, result.kind];
  if (result.kind === "broken") return headers;
  headers.push(REFUSAL_HEADER, result.refusal);
  if (result.retryAfterMs !== undefined) {
    headers.push(RETRY_AFTER_HEADER, String(Math.ceil(result.retryAfterMs)));
  }
  return headers;
}

/**
 * @param received - The headers of a response.
 * @returns What it says of the relay, or `undefined` if it is not the response
 * of a peer that passes requests on.
 */
export function decodeRelayResult(
  received: HeaderList,
): RelayResult | undefined {
  const kind = headerOf(received, RESULT_HEADER);
  if (kind === "passed-on" || kind === "broken") return { kind };
  if (kind !== "not-sent") return undefined;
  const text = headerOf(received, REFUSAL_HEADER);
  const refusal = REFUSALS.find((known) => known === text) ?? "forbidden";
  const retryAfterMs = Number(headerOf(received, RETRY_AFTER_HEADER) ?? NaN);
  return {
    kind,
    refusal,
    retryAfterMs: Number.isFinite(retryAfterMs) ? retryAfterMs : undefined,
  };
}

/** @returns The headers as the endpoint sent them, as far as they matter. */
export function endpointHeadersOf(received: HeaderList): string[] {
  const framing = headerOf(received, FRAMING_HEADER) as Framing | undefined;
  const headers = withoutRelayHeaders(endToEndHeaders(
    received,
    (name) => name === "content-length" && framing !== "length",
  ));
  if (framing === "chunked") headers.push("transfer-encoding", "chunked");
  return headers;
}

function framingOf(
  method: string,
  status: number,
  headers: HeaderList,
): Framing {
  if (isCloseDelimited(method, status, headers)) return "close";
  return headerOf(headers, "transfer-encoding") === undefined
    ? "length"
    : "chunked";
}

function withoutRelayHeaders(headers: HeaderList): string[] {
  return headers.filter((_text, index) =>
    !headers[index - (index % 2)]!.toLowerCase().startsWith(PREFIX)
  );
}

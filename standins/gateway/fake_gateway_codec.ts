/** Codec with the header names of the fake endpoints. */

import type { Address, RequestId } from "../../src/base/common/ids.ts";
import type {
  CallerFields,
  GatewayCodec,
  OutgoingFields,
  ResponseFields,
} from "../../src/features/gateway/common/protocol/gateway_codec.ts";
import {
  endToEndHeaders,
  type HeaderList,
  headerOf,
  withoutHeader,
} from "../../src/services/http/common/header_list.ts";

/** Codec with one short header name for each field. */
export class FakeGatewayCodec implements GatewayCodec {
  readCallerHeaders(headers: HeaderList): CallerFields {
    const prompt = headerOf(headers, "prompt")?.split(",").map(Number);
    const timeout = headerOf(headers, "timeout");
    return {
      requestId: headerOf(headers, "id") as RequestId | undefined,
      host: headerOf(headers, "host") ?? "",
      timeoutMs: timeout === undefined ? undefined : Number(timeout),
      apiKey: headerOf(headers, "key"),
      prompt: prompt && {
        promptTokens: prompt[0]!,
        maxOutputTokens: prompt[1]!,
        hintedOutputTokens: undefined,
      },
      promptParts: headerOf(headers, "parts")?.split(",") ?? [],
      resumeAfterEventId: headerOf(headers, "after"),
      resumedRequestId: headerOf(headers, "resumes"),
    };
  }

  endpointRequestHeaders(
    received: HeaderList,
    fields: OutgoingFields,
  ): string[] {
    const { continuation, backupAddress, workspace } = fields;
    const headers = endToEndHeaders(received, (name) => name === "key");
    headers.push(
      "endpoint",
      fields.endpoint,
      "left",
      String(fields.remainingMs),
    );
    if (workspace) headers.push("workspace", workspace);
    if (backupAddress) headers.push("backup", backupAddress);
    if (continuation?.copyRef) headers.push("copy", continuation.copyRef);
    if (continuation?.afterEventId) {
      headers.push("continue-after", continuation.afterEventId);
    }
    return headers;
  }

  withRemainingTime(headers: HeaderList, remainingMs: number): string[] {
    return [...withoutHeader(headers, "left"), "left", String(remainingMs)];
  }

  readResponseHeaders(status: number, headers: HeaderList): ResponseFields {
    const retryAfter = headerOf(headers, "retry-after");
    const limit = headerOf(headers, "limit");
    const load = headerOf(headers, "load")?.split(",").map(Number);
    return {
      retryAfterMs: status === 503 && retryAfter !== undefined
        ? Number(retryAfter) * 1_000
        : undefined,
      isNotRun: headerOf(headers, "x-not-executed") !== undefined,
      requestId: headerOf(headers, "id"),
      limit: limit === undefined
        ? { kind: "none" }
        : { kind: "named", requestsPerS: Number(limit) },
      isLeaving: headerOf(headers, "leaving") !== undefined,
      isSigned: headerOf(headers, "x-response-stamp") !== undefined,
      load: load && {
        running: load[0]!,
        waiting: load[1]!,
        slots: load[2]!,
        ...(load[3] !== undefined && { pacePercent: load[3] }),
      },
    };
  }

  callerResponseHeaders(received: HeaderList): string[] {
    return endToEndHeaders(
      received,
      () => false,
      (name) => this.isProtocolHeader(name),
    );
  }

  isProtocolHeader(name: string): boolean {
    return name === "id" || name === "x-response-stamp";
  }

  gatewayResponseHeaders(): string[] {
    return [];
  }

  backupReference(address: Address, requestId: RequestId): string {
    return `${address}/${requestId}`;
  }
}

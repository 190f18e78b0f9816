/** Header names of the stand-in endpoints. */

import type { Address, RequestId } from "../../src/base/common/ids.ts";
import type {
  CallerFields,
  GatewayCodec,
  OutgoingFields,
  ReplyFields,
} from "../../src/features/gateway/common/gateway_codec.ts";
import {
  endToEndHeaders,
  type HeaderList,
  headerOf,
} from "../../src/services/http/common/header_list.ts";

/** A codec with the plainest names. */
export class PlainCodec implements GatewayCodec {
  readCaller(headers: HeaderList): CallerFields {
    const prompt = headerOf(headers, "prompt")?.split(",").map(Number);
    const patience = headerOf(headers, "patience");
    return {
      requestId: headerOf(headers, "id") as RequestId | undefined,
      host: headerOf(headers, "host") ?? "",
      patienceMs: patience === undefined ? undefined : Number(patience),
      key: headerOf(headers, "key"),
      prompt: prompt && {
        promptTokens: prompt[0]!,
        maxOutputTokens: prompt[1]!,
        hintedOutputTokens: undefined,
      },
      resumeAfter: headerOf(headers, "after"),
    };
  }

  outgoingHeaders(received: HeaderList, fields: OutgoingFields): string[] {
    const { continuation, backupAddress, workspace } = fields;
    const headers = endToEndHeaders(received, (name) => name === "key");
    headers.push("endpoint", fields.endpoint, "left", String(fields.leftMs));
    if (workspace) headers.push("workspace", workspace);
    if (backupAddress) headers.push("backup", backupAddress);
    if (continuation?.copy) headers.push("copy", continuation.copy);
    if (continuation?.afterEvent) {
      headers.push("continue-after", continuation.afterEvent);
    }
    return headers;
  }

  readReply(_status: number, headers: HeaderList): ReplyFields {
    return {
      isNotRun: headerOf(headers, "x-not-executed") !== undefined,
      requestId: headerOf(headers, "id"),
      isSigned: headerOf(headers, "x-response-stamp") !== undefined,
    };
  }

  replyHeaders(received: HeaderList): string[] {
    return endToEndHeaders(received);
  }

  ownHeaders(): string[] {
    return [];
  }

  backupName(address: Address, requestId: RequestId): string {
    return `${address}/${requestId}`;
  }
}

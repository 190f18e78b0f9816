/** A caller's request with what its admission decided. */

import type { RequestId } from "../../../../base/common/ids.ts";
import type { CallerExchange } from "../../../../services/http/common/caller_exchange.ts";
import type { RequestBody } from "../../../../services/http/common/request_body.ts";
import type {
  GatewayRoute,
  GatewayService,
  KeyHolder,
} from "../configuration/gateway_configuration.ts";
import type { CallerFields } from "../protocol/gateway_codec.ts";

/** A request that passed admission. */
export interface AdmittedRequest {
  readonly id: RequestId;
  readonly exchange: CallerExchange;
  readonly fields: CallerFields;
  readonly route: GatewayRoute;
  readonly service: GatewayService;
  readonly keyHolder: KeyHolder | undefined;
  readonly areKeysConfigured: boolean;
  readonly body: RequestBody;
  /** Monotonic time at which the response is due, in milliseconds. */
  readonly deadlineMs: number;
}

/** Contract between a gateway daemon and the adapter of its platform. */

import type { EngineControl } from "../../features/gateway/common/protocol/engine_control.ts";
import type { GatewayCodec } from "../../features/gateway/common/protocol/gateway_codec.ts";
import type { JsonCaller } from "../../services/http/common/json_caller.ts";
import type { JsonClient } from "../../services/http/node/json_client.ts";
import type { SocketConnector } from "../../services/http/node/socket_connector.ts";
import type {
  LeaseStore,
  RevisionedStore,
} from "../../services/mirror/common/revisioned_store.ts";
import type { StoreDocumentDecoder } from "../common/mirror_change_handler.ts";

/** Platform-specific dependencies of a gateway daemon. */
export interface GatewayPlatformAdapter extends StoreDocumentDecoder {
  readonly store: RevisionedStore & LeaseStore;
  readonly codec: GatewayCodec;
  /** @returns The control of engines, which calls them by a client. */
  createControl(http: JsonCaller): EngineControl;
  /** Opens the connections to endpoints. */
  readonly connector: SocketConnector;
  /** Client for requests to peers without an open link. */
  readonly http: JsonClient;
  /** Shared secret for the links between daemons. */
  readonly peerSecret: string;
}

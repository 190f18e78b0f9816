import { ManualClock } from "../../src/base/common/clock.ts";
import type {
  Address,
  EndpointId,
  HostId,
  ServiceId,
  ZoneName,
} from "../../src/base/common/ids.ts";
import { Right } from "../../src/base/common/result.ts";
import { timestampNow } from "../../src/base/common/timestamp.ts";
import { MirrorChangeHandler } from "../../src/daemon/common/mirror_change_handler.ts";
import { ConfigurationState } from "../../src/features/gateway/common/configuration/configuration_state.ts";
import { EndpointRegistry } from "../../src/features/gateway/common/endpoints/endpoint_registry.ts";
import { ZoneEvacuations } from "../../src/features/gateway/common/endpoints/zone_evacuations.ts";
import { StoreMirror } from "../../src/services/mirror/common/store_mirror.ts";
import { RecordingLogger } from "../gateway/gateway_harness.ts";
import { configuration } from "../gateway/harness_configuration.ts";
import { InProcessNetwork } from "../peers/in_process_links.ts";

describe("a batch of changes of the store", () => {
  // Guards against one entry that ends the host, or keeps a new configuration
  // and the other entries from it.
  it("is applied but for an entry whose handling fails", () => {
    const clock = new ManualClock();
    const logger = new RecordingLogger();
    const mirror = new StoreMirror(clock);
    const registry = new EndpointRegistry(clock, logger);
    const state = new ConfigurationState(logger, () => 0);
    const handler = new MirrorChangeHandler({
      logger,
      mirror,
      state,
      links: new InProcessNetwork().addHost("host-1" as HostId, clock),
      registry,
      evacuations: new ZoneEvacuations(clock, logger),
      peers: { onHostsChanged: () => undefined },
      decoder: {
        configurationKey: "configuration",
        endpointPrefix: "endpoints/",
        evacuationPrefix: "evacuations/",
        decodeConfiguration: () => Right(configuration(2)),
        decodeAnnouncement: (id) => {
          if (id === "odd") throw new TypeError("Invalid URL");
          return Right({
            id: id as EndpointId,
            service: "app" as ServiceId,
            address: "10.0.0.1:80" as Address,
            zone: "zone-a" as ZoneName,
            slots: 6,
            bornMs: 0,
            isDraining: false,
            warmUpRemainingMs: 0,
          });
        },
      },
    });
    const keys = ["endpoints/odd", "endpoints/sound", "configuration"];
    const items = keys.map((key, index) => ({
      key,
      value: new Uint8Array(),
      revision: index + 1,
    }));
    mirror.applyListing(items, items.length, timestampNow(clock));
    handler.dispose();
    expect(registry.all.map(({ id }) => id)).toEqual(["sound"]);
    expect(state.current?.configuration.version).toBe(2);
    expect(logger.lastFields("change-crashed")).toMatchObject({
      key: "endpoints/odd",
      detail: "Invalid URL",
    });
  });
});

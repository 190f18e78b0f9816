import type { ServiceId } from "../../../../base/common/ids.ts";
import { leftOf, rightOf } from "../../../../base/common/result.ts";
import {
  DEFAULT_OPERATOR_SETTINGS,
  hedgingLimitsOf,
} from "./operator_settings.ts";
import { parseOperatorSettings } from "./operator_settings_schema.ts";

const SERVICE = "team/app" as ServiceId;

describe("the operators' settings", () => {
  it.each(["", "{}", "hedging: {}", "# nothing\n"])(
    "hedge nothing by default: %j",
    (text) => {
      const settings = rightOf(parseOperatorSettings(text))!;
      expect(settings).toEqual(DEFAULT_OPERATOR_SETTINGS);
      expect(hedgingLimitsOf(settings.hedging, SERVICE)).toBeUndefined();
    },
  );

  it("hold limits for all services and for single ones, which may turn hedging off", () => {
    const { hedging, crossZoneCostMs } = rightOf(parseOperatorSettings(`
hedging:
  default: { maxExtraShare: 0.05, maxExtraPerS: 20 }
  services:
    team/app: { maxExtraShare: 0.1, maxExtraPerS: 5 }
    team/off: { maxExtraShare: 0, maxExtraPerS: 5 }
crossZoneCostMs: 1.5
`))!;
    expect(crossZoneCostMs).toBe(1.5);
    expect(hedgingLimitsOf(hedging, SERVICE)?.maxExtraShare).toBe(0.1);
    expect(hedgingLimitsOf(hedging, "team/x" as ServiceId)?.maxExtraShare)
      .toBe(0.05);
    expect(hedgingLimitsOf(hedging, "team/off" as ServiceId)).toBeUndefined();
  });

  it("name the path and the line of each wrong field", () => {
    const errors = leftOf(parseOperatorSettings(`hedging:
  default: { maxExtraShare: 2, maxExtraPerS: 1 }
  services:
    team/app: { maxExtraShare: 0.1 }
  extra: 1
crossZoneCostMs: -1
`))!;
    expect(errors.map(({ path, line }) => `${line} ${path}`).sort()).toEqual([
      "2 hedging.default.maxExtraShare",
      "4 hedging.services.team/app.maxExtraPerS",
      "5 hedging.extra",
      "6 crossZoneCostMs",
    ]);
  });
});

import { leftOf, rightOf } from "../../../base/common/result.ts";
import {
  formatValidationErrors,
  parseAndValidateYaml,
} from "./yaml_validation.ts";
import {
  type DaemonSettings,
  daemonSettingsSchema,
} from "./daemon_settings.ts";

const VALID = `
host: bogota-1
zone: sala-bogota
listen: { callers: "127.0.0.1:8080", peers: "127.0.0.1:8081", operators: "127.0.0.1:8082" }
store: { addresses: ["127.0.0.1:2379"] }
secrets:
  signingKeys: [{ id: k1, source: { env: SIGNING } }]
  peer: { env: PEER }
  operator: { file: /run/secrets/operator }
`;

describe("daemon settings", () => {
  it("are read with defaults", () => {
    const settings = rightOf(
      parseAndValidateYaml<DaemonSettings>(VALID, daemonSettingsSchema),
    );
    expect(settings?.host).toBe("bogota-1");
    expect(settings?.limits.maxHeaderCount).toBe(100);
  });

  it("report every mistake at once with its line", () => {
    const text = VALID.replace("127.0.0.1:8081", "localhost:8081") +
      "limits:\n  maxBodyBytes: -1\n  surprise: 1\n";
    const errors = leftOf(
      parseAndValidateYaml<DaemonSettings>(text, daemonSettingsSchema),
    ) ?? [];
    expect(formatValidationErrors("f", errors).split("\n").sort()).toEqual([
      expect.stringMatching(/^f:11: limits.maxBodyBytes: /),
      "f:12: limits.surprise: this field is not known",
      "f:4: listen.peers: must be an IP number and a port, as 10.0.0.1:8080",
    ]);
  });
});

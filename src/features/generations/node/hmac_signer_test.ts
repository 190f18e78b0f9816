import { asId } from "../../../base/common/ids.ts";
import {
  decodeGenerationId,
  encodeGenerationId,
  type GenerationIdFields,
} from "../common/generation_id.ts";
import { HmacSigner } from "./hmac_signer.ts";

const NAME: GenerationIdFields = {
  service: asId("team/service"),
  endpoint: asId("e1"),
  workspace: asId("team/workspace"),
  host: asId("h1"),
  model: "m",
  startedMs: 1_700_000_000_000,
  nonce: "n",
};
const OLD_KEY = { id: "k.1", secret: "old secret of sixteen" };
const NEW_KEY = { id: "k2", secret: "new secret of sixteen" };

describe("signed generation ids", () => {
  it("name what they were made from, also after a rotation of keys", () => {
    const id = encodeGenerationId(NAME, new HmacSigner([OLD_KEY]));
    const rotated = new HmacSigner([NEW_KEY, OLD_KEY]);
    expect(decodeGenerationId(id, rotated)).toEqual(NAME);
  });

  it("are known to hosts one step ahead or behind in a rotation", () => {
    const steps = [
      [OLD_KEY],
      [OLD_KEY, NEW_KEY],
      [NEW_KEY, OLD_KEY],
      [NEW_KEY],
    ].map((keys) => new HmacSigner(keys));
    for (const [index, signer] of steps.entries()) {
      const id = encodeGenerationId(NAME, signer);
      for (const other of steps.slice(Math.max(0, index - 1), index + 2)) {
        expect(decodeGenerationId(id, other)).toEqual(NAME);
      }
    }
  });

  it("are refused when changed in any character or signed by a dropped key", () => {
    const signer = new HmacSigner([OLD_KEY]);
    const id = encodeGenerationId(NAME, signer);
    for (let index = 0; index < id.length; index++) {
      const other = id[index] === "A" ? "B" : "A";
      const changed = id.slice(0, index) + other + id.slice(index + 1);
      expect(decodeGenerationId(changed, signer)).toBeUndefined();
    }
    expect(decodeGenerationId(id, new HmacSigner([NEW_KEY]))).toBeUndefined();
  });
});

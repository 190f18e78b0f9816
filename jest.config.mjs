import { readFileSync } from "node:fs";

/** Names of the tests that `KNOWN-RED.txt` lists, which are passed over. */
const knownRed = [
  ...readFileSync(new URL("KNOWN-RED.txt", import.meta.url), "utf8")
    .matchAll(/^ +passed over: (.+)$/gm),
].map(([, name]) => name.replace(/[.*+?^${}()|[\]\\]/g, "\\$&"));

/** Jest runs the TypeScript sources directly, through swc as CommonJS. */
export default {
  // `--testNamePattern` on the command line runs them.
  ...(knownRed.length > 0 && {
    testNamePattern: `^(?!(?:${knownRed.join("|")})$)`,
  }),
  testEnvironment: "node",
  roots: [
    "<rootDir>/src",
    "<rootDir>/platform",
    "<rootDir>/standins",
    "<rootDir>/soak",
    "<rootDir>/scenarios",
    "<rootDir>/bench",
    "<rootDir>/docs",
  ],
  testMatch: ["**/*_test.ts"],
  transform: {
    "^.+\\.(ts|mjs|js)$": ["@swc/jest", {
      jsc: { parser: { syntax: "typescript" }, target: "es2022" },
      module: { type: "commonjs" },
    }],
  },
  transformIgnorePatterns: ["/node_modules/(?!(pure-rand|cac)/)"],
  testTimeout: 60_000,
};

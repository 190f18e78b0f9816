/** Jest runs the TypeScript sources directly, through swc as CommonJS. */
export default {
  testEnvironment: "node",
  roots: [
    "<rootDir>/src",
    "<rootDir>/platform",
    "<rootDir>/standins",
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

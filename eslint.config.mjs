import importX from "eslint-plugin-import-x";
import tsdoc from "eslint-plugin-tsdoc";
import tseslint from "typescript-eslint";

/** Layers from the lowest to the highest; a layer imports only itself and lower ones. */
const LAYERS = [
  "src/base",
  "src/services",
  "src/features",
  "src/daemon",
  "src/cli",
];

const layerZones = LAYERS.flatMap((target, index) =>
  LAYERS.slice(index + 1).map((from) => ({
    target: `./${target}`,
    from: `./${from}`,
  }))
);

/** Areas of the gateway from the lowest to the highest, as the layers above. */
const GATEWAY_AREAS = [
  "configuration",
  "metrics",
  "endpoints",
  "limits",
  "protocol",
  "monitoring",
  "load",
  "placement",
  "crashes",
  "versions",
  "relay",
  "requests",
  "calls",
  "generations",
].map((area) => `src/features/gateway/common/${area}`);

const areaZones = GATEWAY_AREAS.flatMap((target, index) => [
  { target: `./${target}`, from: "./src/features/gateway/common/gateway.ts" },
  ...GATEWAY_AREAS.slice(index + 1).map((from) => ({
    target: `./${target}`,
    from: `./${from}`,
  })),
]);

/** Programs outside the daemon are never imported by it. */
const outsideZones = ["platform", "soak", "standins", "scenarios", "bench"].map(
  (from) => ({
    target: "./src",
    from: `./${from}`,
  }),
);

export default tseslint.config(
  {
    ignores: [
      "dist/**",
      "target/**",
      "journal/**",
      "soak-logs/**",
      "node_modules/**",
      "coverage/**",
    ],
  },
  ...tseslint.configs.recommended,
  {
    files: ["**/*.ts"],
    plugins: { "import-x": importX, tsdoc },
    languageOptions: { parserOptions: { projectService: true } },
    rules: {
      "tsdoc/syntax": "error",
      "import-x/no-restricted-paths": ["error", {
        zones: [...layerZones, ...areaZones, ...outsideZones],
      }],
      "@typescript-eslint/switch-exhaustiveness-check": "error",
      "@typescript-eslint/no-floating-promises": "error",
      "@typescript-eslint/no-misused-promises": "error",
      "@typescript-eslint/explicit-module-boundary-types": "error",
      "@typescript-eslint/no-explicit-any": "error",
      "@typescript-eslint/naming-convention": [
        "error",
        { selector: "typeLike", format: ["PascalCase"] },
        { selector: "function", format: ["camelCase"] },
      ],
      eqeqeq: "error",
      "prefer-const": "error",
      "max-lines": ["error", {
        max: 400,
        skipBlankLines: true,
        skipComments: true,
      }],
      "max-depth": ["error", 4],
    },
  },
  {
    files: ["**/common/**/*.ts"],
    rules: {
      "no-restricted-imports": ["error", {
        patterns: [
          {
            regex: "^(node:|ws$|undici$|fastify$|hot-shots$|debug$)",
            message: "Modules under common/ do no input or output.",
          },
          {
            regex: "/node/",
            message: "Modules under common/ do not import from node/.",
          },
        ],
      }],
    },
  },
  {
    files: ["**/*_test.ts"],
    rules: { "max-lines": "off" },
  },
);

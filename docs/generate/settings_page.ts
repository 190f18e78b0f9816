/**
 * Generates the reference page of all settings from the schemas that validate
 * them, so that the page cannot deviate from the accepted values.
 */

import { z } from "zod";
import { operatorSettingsSchema } from "../../src/features/gateway/common/configuration/operator_settings_schema.ts";
import { teamDocumentSchema } from "../../src/features/configuration/common/team_document.ts";
import { daemonSettingsSchema } from "../../src/services/settings/common/daemon_settings.ts";
import {
  addressSchema,
  nameSchema,
} from "../../src/services/settings/common/shared_schemas.ts";

type JsonSchema = z.core.JSONSchema.BaseSchema;

/** Table row of a setting. */
interface SettingRow {
  readonly path: string;
  readonly allowedValues: string;
  /** Default value in Markdown, or whether the setting is required. */
  readonly defaultText: string;
  readonly description: string;
}

const INTRODUCTION = `# Settings

This page is made from the schemas by \`npm run docs:settings\`; a test fails when
it is out of date. \`ragwort check FILE\` checks a file of either kind and names
every mistake with its path and line. A standard value of "required" means that
the field must be there; "none" means that it may be left out.
`;

const DAEMON_INTRODUCTION = `
## Settings of a daemon

The file of \`ragwortd --settings FILE\`. Secrets never stand in it: each names an
environment variable or a file, which is read once at the start.

`;

const TEAM_INTRODUCTION = `
## Document of a team

One document a team, kept in the store and changed by \`ragwort config\`. A path such
as \`taranga/classes/lookup/priority\` names the team, then the fields.

`;

const OPERATOR_INTRODUCTION = `
## Settings of a gateway

The YAML file that \`RAGWORTSADDLE_GATEWAY_SETTINGS\` names, beside the settings of the
platform. It is read at the start, on SIGHUP and when it changes; a bad file keeps the settings
in force. [Hedged calls](design/hedging.md) are off without it.

`;

/** Descriptions of the string patterns of the schemas. */
const PATTERN_DESCRIPTIONS: ReadonlyMap<string | undefined, string> = new Map([
  [toJsonSchema(addressSchema).pattern, "IP number and port"],
  [toJsonSchema(nameSchema).pattern, "name of 1 to 63 of a-z 0-9 - _ ."],
]);

/** @returns The page in Markdown. */
export function createSettingsPage(): string {
  return INTRODUCTION +
    DAEMON_INTRODUCTION + formatRows(createRows(daemonSettingsSchema)) +
    TEAM_INTRODUCTION + formatRows(createRows(teamDocumentSchema)) +
    OPERATOR_INTRODUCTION + formatRows(createRows(operatorSettingsSchema));
}

function toJsonSchema(schema: z.ZodType): JsonSchema {
  return z.toJSONSchema(schema, {
    io: "input",
    unrepresentable: "any",
    // Zod omits the default value of schemas with a transformation.
    override: ({ zodSchema, jsonSchema }) => {
      const { def } = zodSchema._zod;
      if (def.type === "default") jsonSchema.default = def.defaultValue;
    },
  });
}

function createRows(schema: z.ZodType): SettingRow[] {
  return collectRows("", toJsonSchema(schema), true);
}

function collectRows(
  path: string,
  schema: JsonSchema,
  isRequired: boolean,
): SettingRow[] {
  const { properties, items, additionalProperties } = schema;
  if (properties) {
    const rows = Object.entries(properties).flatMap(([name, property]) =>
      collectRows(
        path === "" ? name : `${path}.${name}`,
        toSchema(property),
        schema.required?.includes(name) === true,
      )
    );
    return path === "" ? rows : [toRow(path, schema, isRequired), ...rows];
  }
  const ownRow = [toRow(path, schema, isRequired)];
  if (items && !Array.isArray(items)) {
    return [...ownRow, ...collectNestedRows(`${path}[]`, toSchema(items))];
  }
  if (typeof additionalProperties === "object") {
    return [
      ...ownRow,
      ...collectNestedRows(`${path}.NAME`, toSchema(additionalProperties)),
    ];
  }
  return ownRow;
}

/**
 * Collects the rows of the fields of a list item or record value; there are none
 * if it is a scalar.
 */
function collectNestedRows(path: string, schema: JsonSchema): SettingRow[] {
  const variants = schema.oneOf ?? schema.anyOf;
  if (variants) {
    return variants.flatMap((variant) =>
      collectNestedRows(
        `${path}${variantName(toSchema(variant))}`,
        toSchema(variant),
      )
    );
  }
  if (!schema.properties) return [];
  return collectRows(path, schema, true).filter((row) => row.path !== path);
}

function variantName(schema: JsonSchema): string {
  const kind = toSchema(schema.properties?.["kind"] ?? {}).const;
  return kind === undefined ? "" : ` (kind ${String(kind)})`;
}

function toRow(
  path: string,
  schema: JsonSchema,
  isRequired: boolean,
): SettingRow {
  const fallbackText = isRequired ? "required" : "none";
  const { default: defaultValue } = schema;
  return {
    path,
    allowedValues: describeAllowedValues(schema),
    defaultText: defaultValue === undefined || schema.properties
      ? fallbackText
      : `\`${JSON.stringify(defaultValue)}\``,
    description: schema.description ?? "",
  };
}

function describeAllowedValues(schema: JsonSchema): string {
  const { pattern, type, items, minimum, maximum } = schema;
  if (schema.const !== undefined) return `\`${String(schema.const)}\``;
  if (schema.enum) return schema.enum.map((value) => `\`${value}\``).join(", ");
  const patternText = PATTERN_DESCRIPTIONS.get(pattern);
  if (pattern !== undefined && patternText !== undefined) return patternText;
  if (schema.anyOf) {
    return schema.anyOf.map((variant) =>
      Object.keys(toSchema(variant).properties ?? {}).map((name) =>
        `\`${name}\``
      ).join(" and ")
    ).join(" or ");
  }
  if (type === "array" && items) {
    return `list of ${describeAllowedValues(toSchema(items))}`;
  }
  if (type === "object") return schema.properties ? "fields" : "names";
  const lowerBound = schema.exclusiveMinimum === undefined
    ? minimum
    : `above ${schema.exclusiveMinimum}`;
  const isBounded = maximum !== undefined && maximum < Number.MAX_SAFE_INTEGER;
  const range = [
    lowerBound === undefined ? "" : ` ${lowerBound}`,
    isBounded ? ` to ${maximum}` : "",
  ].join("");
  return `${String(type ?? "value")}${range}`;
}

function formatRows(rows: readonly SettingRow[]): string {
  return [
    "| setting | allowed | standard value | meaning |",
    "| --- | --- | --- | --- |",
    ...rows.map((
      { path, allowedValues, defaultText, description },
    ) =>
      `| \`${path}\` | ${allowedValues} | ${defaultText} | ${description} |`
    ),
    "",
  ].join("\n");
}

function toSchema(value: unknown): JsonSchema {
  return value as JsonSchema;
}

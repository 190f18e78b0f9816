/** The page of all settings, made from the schemas that check them. */

import { z } from "zod";
import { teamDocumentSchema } from "../../src/features/configuration/common/team_document.ts";
import { daemonSettingsSchema } from "../../src/services/settings/common/daemon_settings.ts";
import {
  addressSchema,
  nameSchema,
} from "../../src/services/settings/common/shared_schemas.ts";

type JsonSchema = z.core.JSONSchema.BaseSchema;

/** One setting of the page. */
interface SettingRow {
  readonly path: string;
  readonly allowed: string;
  readonly standard: string;
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

const KNOWN_PATTERNS: ReadonlyMap<string | undefined, string> = new Map([
  [toJsonSchema(addressSchema).pattern, "IP number and port"],
  [toJsonSchema(nameSchema).pattern, "name of 1 to 63 of a-z 0-9 - _ ."],
]);

/** @returns The whole page. */
export function createSettingsPage(): string {
  return INTRODUCTION +
    DAEMON_INTRODUCTION + formatRows(rowsOf(daemonSettingsSchema)) +
    TEAM_INTRODUCTION + formatRows(rowsOf(teamDocumentSchema));
}

function toJsonSchema(schema: z.ZodType): JsonSchema {
  return z.toJSONSchema(schema, {
    io: "input",
    unrepresentable: "any",
    // The library leaves out the standard value of what it transforms.
    override: ({ zodSchema, jsonSchema }) => {
      const { def } = zodSchema._zod;
      if (def.type === "default") jsonSchema.default = def.defaultValue;
    },
  });
}

function rowsOf(schema: z.ZodType): SettingRow[] {
  return walk("", toJsonSchema(schema), true);
}

function walk(
  path: string,
  schema: JsonSchema,
  isRequired: boolean,
): SettingRow[] {
  const { properties, items, additionalProperties } = schema;
  if (properties) {
    const rows = Object.entries(properties).flatMap(([name, part]) =>
      walk(
        path === "" ? name : `${path}.${name}`,
        asSchema(part),
        schema.required?.includes(name) === true,
      )
    );
    return path === "" ? rows : [toRow(path, schema, isRequired), ...rows];
  }
  const own = [toRow(path, schema, isRequired)];
  if (items && !Array.isArray(items)) {
    return [...own, ...nested(`${path}[]`, asSchema(items))];
  }
  if (typeof additionalProperties === "object") {
    return [...own, ...nested(`${path}.NAME`, asSchema(additionalProperties))];
  }
  return own;
}

/** Parts of a list's item or a record's value; a plain value has none. */
function nested(path: string, schema: JsonSchema): SettingRow[] {
  const variants = schema.oneOf ?? schema.anyOf;
  if (variants) {
    return variants.flatMap((variant) =>
      nested(`${path}${variantName(asSchema(variant))}`, asSchema(variant))
    );
  }
  if (!schema.properties) return [];
  return walk(path, schema, true).filter((row) => row.path !== path);
}

function variantName(schema: JsonSchema): string {
  const kind = asSchema(schema.properties?.["kind"] ?? {}).const;
  return kind === undefined ? "" : ` (kind ${String(kind)})`;
}

function toRow(
  path: string,
  schema: JsonSchema,
  isRequired: boolean,
): SettingRow {
  const missing = isRequired ? "required" : "none";
  const { default: standard } = schema;
  return {
    path,
    allowed: allowedBy(schema),
    standard: standard === undefined || schema.properties
      ? missing
      : `\`${JSON.stringify(standard)}\``,
    description: schema.description ?? "",
  };
}

function allowedBy(schema: JsonSchema): string {
  const { pattern, type, items, minimum, maximum } = schema;
  if (schema.const !== undefined) return `\`${String(schema.const)}\``;
  if (schema.enum) return schema.enum.map((one) => `\`${one}\``).join(", ");
  const known = KNOWN_PATTERNS.get(pattern);
  if (pattern !== undefined && known !== undefined) return known;
  if (schema.anyOf) {
    return schema.anyOf.map((variant) =>
      Object.keys(asSchema(variant).properties ?? {}).map((name) =>
        `\`${name}\``
      ).join(" and ")
    ).join(" or ");
  }
  if (type === "array" && items) {
    return `list of ${allowedBy(asSchema(items))}`;
  }
  if (type === "object") return schema.properties ? "fields" : "names";
  const least = schema.exclusiveMinimum === undefined
    ? minimum
    : `above ${schema.exclusiveMinimum}`;
  const isBounded = maximum !== undefined && maximum < Number.MAX_SAFE_INTEGER;
  const range = [
    least === undefined ? "" : ` ${least}`,
    isBounded ? ` to ${maximum}` : "",
  ].join("");
  return `${String(type ?? "value")}${range}`;
}

function formatRows(rows: readonly SettingRow[]): string {
  return [
    "| setting | allowed | standard value | meaning |",
    "| --- | --- | --- | --- |",
    ...rows.map(({ path, allowed, standard, description }) =>
      `| \`${path}\` | ${allowed} | ${standard} | ${description} |`
    ),
    "",
  ].join("\n");
}

function asSchema(value: unknown): JsonSchema {
  return value as JsonSchema;
}

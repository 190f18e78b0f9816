/** Creates shell completion scripts for the command line. */

/** Command with the words that can be completed after it. */
export interface CompletedCommand {
  readonly name: string;
  readonly description: string;
  /** Possible first arguments, if they are a fixed set; otherwise empty. */
  readonly actions: readonly string[];
  readonly options: readonly string[];
}

/** Supported shells. */
export const SHELLS = ["bash", "zsh"] as const;

/** Name of a supported shell. */
export type ShellName = (typeof SHELLS)[number];

/**
 * Creates a completion script.
 *
 * @param shell - Shell to create the script for.
 * @param commands - Commands to complete.
 * @returns The script in the language of the shell.
 */
export function createCompletion(
  shell: ShellName,
  commands: readonly CompletedCommand[],
): string {
  const bash = createBashCompletion(commands);
  if (shell === "bash") return bash;
  return ["autoload -U +X bashcompinit && bashcompinit", bash].join("\n");
}

function createBashCompletion(commands: readonly CompletedCommand[]): string {
  const commandNames = commands.map(({ name }) => name).join(" ");
  return [
    "_ragwort() {",
    `  local word="\${COMP_WORDS[COMP_CWORD]}" words=""`,
    `  if [ "$COMP_CWORD" -eq 1 ]; then`,
    `    words="${commandNames}"`,
    "  else",
    `    case "\${COMP_WORDS[1]}" in`,
    ...commands.map(({ name, actions, options }) =>
      `      ${name}) words="${[...actions, ...options].join(" ")}" ;;`
    ),
    "    esac",
    "  fi",
    `  COMPREPLY=($(compgen -W "$words" -- "$word"))`,
    `  if [ \${#COMPREPLY[@]} -eq 0 ] && [ "$COMP_CWORD" -gt 1 ]; then`,
    `    COMPREPLY=($(compgen -f -- "$word"))`,
    "  fi",
    "}",
    "complete -F _ragwort ragwort",
    "",
  ].join("\n");
}

/** Completion scripts for shells. */

/** A command as the completion knows it. */
export interface CompletedCommand {
  readonly name: string;
  readonly description: string;
  /** First words after the command, when there is a fixed set of them. */
  readonly actions: readonly string[];
  readonly options: readonly string[];
}

/** Shells that have a completion script. */
export const SHELLS = ["bash", "zsh"] as const;

/** A shell with a completion script. */
export type ShellName = (typeof SHELLS)[number];

/**
 * @param shell - The shell.
 * @param commands - What can be completed.
 * @returns The script, to be read by the shell.
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

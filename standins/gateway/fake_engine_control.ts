/** Fake control of engines. */

import type { Address, RequestId } from "../../src/base/common/ids.ts";
import { type AsyncEither, Left, Right } from "../../src/base/common/result.ts";
import type {
  CopyFailure,
  EngineControl,
  EngineReport,
  GenerationCopy,
  Liveness,
} from "../../src/features/gateway/common/protocol/engine_control.ts";

/** Engine control whose results tests choose. */
export class FakeEngineControl implements EngineControl {
  /** Addresses at which no process listens. */
  readonly offline = new Set<Address>();
  /** Addresses of engines that accept connections and send nothing. */
  readonly silent = new Set<Address>();
  readonly copies: { source: Address; target: Address; id: RequestId }[] = [];
  readonly freedCopies: string[] = [];
  /** Generations that were to end at their source. */
  readonly endedRuns: RequestId[] = [];
  copyFailure: CopyFailure | undefined;

  readReport(address: Address): AsyncEither<string, EngineReport> {
    if (!this.#answers(address)) return Promise.resolve(Left("no answer"));
    return Promise.resolve(Right({
      isDraining: false,
      shutdownInMs: undefined,
      bornMs: undefined,
    }));
  }

  checkLiveness(address: Address): Promise<Liveness> {
    return Promise.resolve(
      this.#answers(address)
        ? { kind: "answered", bornMs: undefined }
        : { kind: "no-answer", detail: "no answer" },
    );
  }

  identify(address: Address): Promise<Liveness> {
    return this.checkLiveness(address);
  }

  copyRun(
    source: Address,
    target: Address,
    id: RequestId,
    endsRun: boolean,
  ): AsyncEither<CopyFailure, GenerationCopy> {
    if (this.copyFailure) return Promise.resolve(Left(this.copyFailure));
    this.copies.push({ source, target, id });
    if (endsRun) this.endedRuns.push(id);
    return Promise.resolve(Right({ name: `h${this.copies.length}` }));
  }

  freeCopy(_source: Address, name: string): Promise<void> {
    this.freedCopies.push(name);
    return Promise.resolve();
  }

  copyReference(source: Address, name: string): string {
    return `${source}/${name}`;
  }

  #answers(address: Address): boolean {
    return !this.offline.has(address) && !this.silent.has(address);
  }
}

/**
 * Holds a streamed body back after its head until a peer has a connection to
 * the endpoint, so that a peer that has none does not use the body up.
 */

import type { StreamedBody } from "../../../services/http/common/request_body.ts";

/** A body whose remainder follows once it is released. */
export class HeldBody implements StreamedBody {
  readonly #body: StreamedBody;
  readonly #released: Promise<boolean>;
  #settle: (isReleased: boolean) => void = () => undefined;

  /** @param body - The body, of which no more than the head has been read. */
  constructor(body: StreamedBody) {
    this.#body = body;
    this.#released = new Promise((resolve) => {
      this.#settle = resolve;
    });
  }

  get sizeBytes(): number | undefined {
    return this.#body.sizeBytes;
  }

  get head(): Uint8Array {
    return this.#body.head;
  }

  get isConsumed(): boolean {
    return this.#body.isConsumed;
  }

  get isTooLarge(): boolean {
    return this.#body.isTooLarge;
  }

  /** Lets the remainder follow. */
  release(): void {
    this.#settle(true);
  }

  /** Ends the body with an error, unless it was released. */
  cancel(): void {
    this.#settle(false);
  }

  async *chunks(): AsyncGenerator<Uint8Array> {
    let isHead = true;
    for await (const chunk of this.#body.chunks()) {
      yield chunk;
      // A normal end would make the part look like a whole body.
      if (isHead && !await this.#released) {
        throw new Error("the remainder of the request body was held back");
      }
      isHead = false;
    }
  }
}

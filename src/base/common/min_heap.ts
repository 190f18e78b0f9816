/** A binary min-heap over a comparison function. */

/** Priority queue; the smallest item comes first. */
export class MinHeap<T> {
  #items: T[] = [];
  readonly #compare: (left: T, right: T) => number;

  /** @param compare - Negative when `left` comes before `right`. */
  constructor(compare: (left: T, right: T) => number) {
    this.#compare = compare;
  }

  /** Number of items. */
  get size(): number {
    return this.#items.length;
  }

  /** The smallest item, or `undefined` when empty. */
  peek(): T | undefined {
    return this.#items[0];
  }

  /** @param item - The item to add. */
  push(item: T): void {
    this.#items.push(item);
    this.#siftUp(this.#items.length - 1);
  }

  /** Removes and returns the smallest item. */
  pop(): T | undefined {
    const first = this.#items[0];
    const last = this.#items.pop();
    if (last !== undefined && this.#items.length > 0) {
      this.#items[0] = last;
      this.#siftDown(0);
    }
    return first;
  }

  #siftUp(start: number): void {
    let index = start;
    while (index > 0) {
      const parent = (index - 1) >> 1;
      if (this.#compare(this.#items[index]!, this.#items[parent]!) >= 0) return;
      this.#swap(index, parent);
      index = parent;
    }
  }

  #siftDown(start: number): void {
    let index = start;
    for (;;) {
      const smallest = this.#smallestOfNodeAndChildren(index);
      if (smallest === index) return;
      this.#swap(index, smallest);
      index = smallest;
    }
  }

  #smallestOfNodeAndChildren(index: number): number {
    let smallest = index;
    for (const child of [2 * index + 1, 2 * index + 2]) {
      if (child >= this.#items.length) continue;
      if (this.#compare(this.#items[child]!, this.#items[smallest]!) < 0) {
        smallest = child;
      }
    }
    return smallest;
  }

  #swap(left: number, right: number): void {
    const leftItem = this.#items[left]!;
    this.#items[left] = this.#items[right]!;
    this.#items[right] = leftItem;
  }
}

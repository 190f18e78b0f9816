/**
 * Finds out at which software version a stream has to go on that a caller takes
 * up after an earlier try, and remembers at which version streams begin.
 */

import { sleep } from "../../../../base/common/clock.ts";
import type { WorkspaceId } from "../../../../base/common/ids.ts";
import type { RegisteredEndpoint } from "../endpoints/endpoint_registry.ts";
import type { RequestContext } from "../requests/request_context.ts";
import type { StreamKey } from "../versions/stream_versions.ts";

/** Retry delay; endpoints of the version may be back by then. */
const RETRY_AFTER_MS = 1_000;
/** Time within which hosts report the streams that they begin to all others. */
const REPORT_DELAY_MS = 150;
/** Time for which a try waits until the view of the endpoints is confirmed. */
const MAX_VIEW_WAIT_MS = 500;
/** Longer ones are taken for this. */
const MAX_CALLER_TIMEOUT_MS = 600_000;
/** Time after its deadline for which the version of a stream is kept. */
const EXPIRY_MARGIN_MS = 1_000;
/** Workspace of requests on routes without keys. */
const PUBLIC_WORKSPACE = "" as WorkspaceId;

/** Version at which a stream goes on, and the evidence for it. */
interface FoundVersion {
  readonly softwareVersion: string;
  /**
   * `stream`: a host reported the stream. `service`: the service had no other
   * version while the stream may have begun.
   */
  readonly source: "stream" | "service";
}

/** Version of one stream across the tries of its caller. */
export class StreamResumption {
  readonly #context: RequestContext;

  /** @param context - State of the request. */
  constructor(context: RequestContext) {
    this.#context = context;
  }

  /**
   * Prepares the first run. A try that takes up a stream is refused unless an
   * endpoint of the version that began it accepts requests; a version that is
   * not known is not guessed unless there was only one.
   *
   * @param onReady - Called when the run may start.
   */
  prepare(onReady: () => void): void {
    if (this.#context.request.fields.resumeAfterEventId) {
      this.#context.guard.follow(this.#takeUp(onReady));
    } else onReady();
  }

  async #takeUp(onReady: () => void): Promise<void> {
    const context = this.#context;
    const { request, services } = context;
    const key = this.#resumedKey();
    const known = key && services.streamVersions.versionOf(key);
    const found: FoundVersion | undefined = known === undefined
      ? await this.#findVersion(key)
      : { softwareVersion: known, source: "stream" };
    if (context.hasEnded) return;
    this.#logDecision(found);
    if (!found) {
      this.#refuse("the software version of the stream is not known");
      return;
    }
    const version = found.softwareVersion;
    context.softwareVersion = version;
    const { registry } = services;
    const isServed = registry.usable(request.service.id).some((endpoint) =>
      context.accepts(endpoint)
    );
    if (isServed) onReady();
    else {
      this.#refuse(
        `no endpoint with the stream's software version ${version} accepts requests`,
      );
    }
  }

  /** Records that an endpoint has begun or continued the stream. */
  recordStart({ softwareVersion }: RegisteredEndpoint): void {
    const context = this.#context;
    context.softwareVersion = softwareVersion;
    if (!context.canResume) return;
    const { request, services } = context;
    const key = request.fields.resumeAfterEventId
      ? this.#resumedKey()
      : this.#keyOf(request.id);
    if (!key) return;
    services.streamVersions.record({
      ...key,
      softwareVersion,
      expiresMs: this.#callerDeadlineMs() + EXPIRY_MARGIN_MS,
    });
  }

  /**
   * Returns the monotonic time in milliseconds until which the caller may take
   * the stream up. It may wait for longer than the route lets one try last.
   */
  #callerDeadlineMs(): number {
    const { deadlineMs, exchange, fields } = this.#context.request;
    const timeoutMs = Math.min(fields.timeoutMs ?? 0, MAX_CALLER_TIMEOUT_MS);
    return Math.max(deadlineMs, exchange.receivedMs + timeoutMs);
  }

  /**
   * Finds the version of a stream that was not known when the try arrived: its
   * host reports it only just now, or it is certain that there is one version.
   */
  async #findVersion(
    key: StreamKey | undefined,
  ): Promise<FoundVersion | undefined> {
    const reported = key && this.#awaitReport(key);
    const only = this.#findOnlyVersion();
    return await Promise.race([reported ?? only, only]) ??
      await reported ?? await only;
  }

  async #awaitReport(key: StreamKey): Promise<FoundVersion | undefined> {
    const { streamVersions } = this.#context.services;
    const softwareVersion = await streamVersions.awaitVersionOf(
      key,
      REPORT_DELAY_MS,
    );
    if (softwareVersion === undefined) return undefined;
    return { softwareVersion, source: "stream" };
  }

  /**
   * Returns the version of all endpoints that were present while the stream may
   * have run, if there is only one. The store is read first: another version may
   * have begun the stream that this host has not seen.
   */
  async #findOnlyVersion(): Promise<FoundVersion | undefined> {
    if (this.#onlyVersion() === undefined) return undefined;
    const { clock, softwareVersions } = this.#context.services;
    const isConfirmed = await Promise.race([
      softwareVersions.confirmView(),
      sleep(clock, MAX_VIEW_WAIT_MS).then(() => false),
    ]);
    if (!isConfirmed) return undefined;
    const softwareVersion = this.#onlyVersion();
    if (softwareVersion === undefined) return undefined;
    return { softwareVersion, source: "service" };
  }

  #onlyVersion(): string | undefined {
    const { request, services } = this.#context;
    const { softwareVersions } = services;
    const versions = softwareVersions.currentVersions(request.service.id);
    if (versions?.size === 0) return "";
    return versions?.size === 1 ? [...versions][0] : undefined;
  }

  #logDecision(found: FoundVersion | undefined): void {
    const { request, services } = this.#context;
    const { metrics, softwareVersions } = services;
    const { resumeAfterEventId, resumedRequestId } = request.fields;
    const versions = softwareVersions.currentVersions(request.service.id);
    if (found) metrics.count("streams_resumed", found.source);
    this.#context.log("info", "stream-resumed", {
      resumes: resumedRequestId,
      afterEvent: resumeAfterEventId,
      softwareVersion: found?.softwareVersion,
      source: found?.source,
      versions: versions && [...versions].join(),
      viewAgeMs: Math.round(softwareVersions.viewAgeMs),
    });
  }

  #resumedKey(): StreamKey | undefined {
    const { resumedRequestId } = this.#context.request.fields;
    return resumedRequestId ? this.#keyOf(resumedRequestId) : undefined;
  }

  #keyOf(id: string): StreamKey {
    const { request, workspace } = this.#context;
    return {
      id,
      service: request.service.id,
      workspace: workspace ?? PUBLIC_WORKSPACE,
    };
  }

  #refuse(reason: string): void {
    this.#context.services.metrics.count("resumptions_refused");
    this.#context.refuse(reason, RETRY_AFTER_MS);
  }
}

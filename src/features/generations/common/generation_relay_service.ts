/**
 * Implements the generation service: starts generations on granted endpoints,
 * and locates the endpoint of an existing generation from its signed id.
 */

import {
  asId,
  type GenerationId,
  type WorkspaceId,
} from "../../../base/common/ids.ts";
import {
  type AsyncEither,
  type Either,
  Left,
  leftOf,
  Right,
  rightOf,
} from "../../../base/common/result.ts";
import type {
  CancelResult,
  Endpoint,
} from "../../../services/endpoints/common/engine_client.ts";
import type { RequestFailure } from "../../../services/outcomes/common/failure.ts";
import { findEndpointConfig } from "../../configuration/common/configuration.ts";
import { decodeGenerationId } from "./generation_id.ts";
import type {
  GenerationHandle,
  GenerationListener,
  GenerationRequest,
  GenerationService,
  ResumeRequest,
} from "./generation_service.ts";
import type { RelayServices } from "./relay_services.ts";
import { ResumedGeneration } from "./resumed_generation.ts";
import { StartedGeneration } from "./started_generation.ts";

const NOT_FOUND: RequestFailure = {
  outcome: "not-run",
  reason: "not-found",
  isRetryable: false,
  step: "generation.find",
  peer: "",
  detail: "generation not found",
};

const ENDPOINT_NOT_CONFIGURED: RequestFailure = {
  outcome: "interrupted",
  reason: "endpoint-lost",
  isRetryable: false,
  step: "generation.find",
  peer: "",
  detail: "the endpoint that ran the generation is no longer configured",
};

const NOOP_HANDLE: GenerationHandle = {
  resumeReading: () => undefined,
  onCallerDisconnected: () => undefined,
};

interface LocatedGeneration {
  readonly endpoint: Endpoint;
  readonly id: GenerationId;
}

/** Relays generations between callers and engines. */
export class GenerationRelayService implements GenerationService {
  readonly #services: RelayServices;
  #activeCount = 0;

  /** @param services - Dependencies of the generation feature. */
  constructor(services: RelayServices) {
    this.#services = services;
  }

  /** {@inheritDoc GenerationService.activeCount} */
  get activeCount(): number {
    return this.#activeCount;
  }

  /** {@inheritDoc GenerationService.start} */
  start(
    request: GenerationRequest,
    listener: GenerationListener,
  ): GenerationHandle {
    this.#activeCount++;
    const generation = new StartedGeneration(
      this.#services,
      request,
      listener,
      () => this.#activeCount--,
    );
    void generation.begin();
    return generation;
  }

  /** {@inheritDoc GenerationService.resume} */
  resume(
    request: ResumeRequest,
    listener: GenerationListener,
  ): GenerationHandle {
    const located = this.#locate(request.workspace, request.id);
    const found = rightOf(located);
    if (!found) {
      const failure = leftOf(located) ?? NOT_FOUND;
      listener.onEnded({ kind: "failed", failure, deliveredTokens: 0 });
      return NOOP_HANDLE;
    }
    this.#activeCount++;
    const generation = new ResumedGeneration(
      this.#services,
      found.endpoint,
      found.id,
      request.fromOffset,
      listener,
      () => this.#activeCount--,
    );
    generation.begin();
    return generation;
  }

  /** {@inheritDoc GenerationService.cancel} */
  async cancel(
    workspace: WorkspaceId,
    id: string,
  ): AsyncEither<RequestFailure, CancelResult> {
    const located = this.#locate(workspace, id);
    const found = rightOf(located);
    if (!found) return Left(leftOf(located) ?? NOT_FOUND);
    const cancelled = await this.#services.engines.cancel(
      found.endpoint,
      found.id,
    );
    return cancelled.mapLeft((failure): RequestFailure => ({
      outcome: "unknown",
      reason: "endpoint-lost",
      isRetryable: true,
      step: failure.step,
      peer: failure.peer,
      detail: "the endpoint did not confirm the cancellation",
    })).chain((result) =>
      result === "unknown-generation" ? Left(NOT_FOUND) : Right(result)
    );
  }

  /**
   * Locates the endpoint of a generation. Generations of other workspaces are
   * reported as not found.
   */
  #locate(
    workspace: WorkspaceId,
    id: string,
  ): Either<RequestFailure, LocatedGeneration> {
    const fields = decodeGenerationId(id, this.#services.signer);
    if (!fields || fields.workspace !== workspace) return Left(NOT_FOUND);
    const service = this.#services.configuration.findService(fields.service);
    const config = service && findEndpointConfig(service, fields.endpoint);
    if (!config) return Left(ENDPOINT_NOT_CONFIGURED);
    return Right({
      endpoint: { id: fields.endpoint, address: config.address },
      id: asId<GenerationId>(id),
    });
  }
}

/**
 * TLS certificates and keys that are loaded from PEM files. The files are read
 * periodically, so that renewed certificates are used without a restart.
 */

import { createPrivateKey, X509Certificate } from "node:crypto";
import { readFileSync } from "node:fs";
import {
  type ConnectionOptions,
  createSecureContext,
  type Server,
  type TlsOptions,
} from "node:tls";
import { type Clock, runPeriodically } from "../../../base/common/clock.ts";
import { StepError, toErrorMessage } from "../../../base/common/errors.ts";
import type { HostId } from "../../../base/common/ids.ts";
import {
  type Disposable,
  DisposableStore,
  toDisposable,
} from "../../../base/common/lifecycle.ts";
import { attempt, type Either } from "../../../base/common/result.ts";
import type { Logger } from "../../log/common/logger.ts";

/** Paths of the PEM files. */
export interface TlsFilePaths {
  /** Certificate of this host, followed by the intermediate certificates. */
  readonly certFile: string;
  readonly keyFile: string;
  /** Certificate authority that must have issued the peer's certificate. */
  readonly caFile?: string | undefined;
}

/** Dependencies of `TlsCredentials`. */
export interface TlsCredentialsServices {
  readonly clock: Clock;
  readonly logger: Logger;
}

/** Maximum delay until changed files are used. */
export const TLS_RELOAD_PERIOD_MS = 5_000;

const MIN_VERSION = "TLSv1.2";

interface PemCredentials {
  readonly cert: string;
  readonly key: string;
  readonly ca?: string;
}

/** Credentials of a listener and of the outgoing connections that use them. */
export class TlsCredentials implements Disposable {
  readonly #services: TlsCredentialsServices;
  readonly #paths: TlsFilePaths;
  readonly #servers = new Set<Server>();
  readonly #disposables = new DisposableStore();
  #credentials: PemCredentials;

  private constructor(
    services: TlsCredentialsServices,
    paths: TlsFilePaths,
    credentials: PemCredentials,
  ) {
    this.#services = services;
    this.#paths = paths;
    this.#credentials = credentials;
    this.#disposables.add(
      runPeriodically(
        services.clock,
        TLS_RELOAD_PERIOD_MS,
        () => this.reload(),
      ),
    );
  }

  /**
   * Reads the files and starts to reload them periodically.
   *
   * @param services - Clock and logger for reloading.
   * @param paths - Paths of the files.
   * @returns The credentials, or an error that names the invalid file.
   */
  static load(
    services: TlsCredentialsServices,
    paths: TlsFilePaths,
  ): Either<StepError, TlsCredentials> {
    return readCredentials(paths).map((material) =>
      new TlsCredentials(services, paths, material)
    );
  }

  /**
   * Returns the options for a server. With a certificate authority, the server
   * accepts only clients whose certificate was issued by it.
   */
  serverOptions(): TlsOptions {
    return {
      ...this.#credentials,
      minVersion: MIN_VERSION,
      requestCert: this.#credentials.ca !== undefined,
      rejectUnauthorized: true,
    };
  }

  /**
   * Returns the options for a client connection. They must be requested again
   * for each connection, so that it uses the current certificates.
   *
   * @param host - Host name that the certificate of the server must contain.
   */
  clientOptions(host: HostId): ConnectionOptions {
    return {
      ...this.#credentials,
      minVersion: MIN_VERSION,
      servername: host,
      rejectUnauthorized: true,
    };
  }

  /**
   * Updates a server whenever the certificates change. Open connections keep
   * their certificates.
   *
   * @param server - Server that was created with `serverOptions`.
   * @returns Disposing it stops the updates of the server.
   */
  follow(server: Server): Disposable {
    this.#servers.add(server);
    return this.#disposables.add(
      toDisposable(() => this.#servers.delete(server)),
    );
  }

  /**
   * Reads the files. If they are invalid or do not match, logs a warning and
   * keeps the current credentials.
   */
  reload(): void {
    readCredentials(this.#paths).caseOf({
      Left: (error) => {
        this.#services.logger.log("warn", "tls-reload-failed", {
          step: error.step,
          file: error.peer,
          detail: error.message,
        });
      },
      Right: (material) => this.#apply(material),
    });
  }

  /** Stops reloading the files. */
  dispose(): void {
    this.#disposables.dispose();
  }

  #apply(credentials: PemCredentials): void {
    const { cert, key, ca } = this.#credentials;
    const isUnchanged = credentials.cert === cert && credentials.key === key &&
      credentials.ca === ca;
    if (isUnchanged) return;
    this.#credentials = credentials;
    for (const server of this.#servers) {
      server.setSecureContext(this.serverOptions());
    }
    this.#services.logger.log("info", "tls-reloaded", {
      file: this.#paths.certFile,
    });
  }
}

function readCredentials(
  paths: TlsFilePaths,
): Either<StepError, PemCredentials> {
  const { certFile, keyFile, caFile } = paths;
  return readFile(certFile).chain((cert) =>
    readFile(keyFile).chain((key) => {
      if (caFile === undefined) return validatePem(paths, { cert, key });
      return readFile(caFile).chain((ca) =>
        validatePem(paths, { cert, key, ca })
      );
    })
  );
}

function readFile(path: string): Either<StepError, string> {
  return attempt(
    () => readFileSync(path, "utf8"),
    (thrown) =>
      new StepError(toErrorMessage(thrown), { step: "tls.read", peer: path }),
  );
}

/**
 * Validates that the key matches the certificate. This is temporarily not the
 * case when the files are replaced one after the other.
 */
function validatePem(
  { certFile }: TlsFilePaths,
  credentials: PemCredentials,
): Either<StepError, PemCredentials> {
  return attempt(
    () => {
      createSecureContext(credentials);
      const certificate = new X509Certificate(credentials.cert);
      if (!certificate.checkPrivateKey(createPrivateKey(credentials.key))) {
        throw new Error("the private key does not match the certificate");
      }
      return credentials;
    },
    (thrown) =>
      new StepError(toErrorMessage(thrown), {
        step: "tls.check",
        peer: certFile,
      }),
  );
}

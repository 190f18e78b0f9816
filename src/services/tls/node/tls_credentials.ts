/** Certificates from files, read again when the files change. */

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

/** Where the certificates stand, as PEM files. */
export interface TlsFilePaths {
  /** Certificate, followed by the intermediate ones. */
  readonly certFile: string;
  readonly keyFile: string;
  /** Authority that the other side's certificate must come from. */
  readonly caFile?: string | undefined;
}

/** What the certificates are watched with. */
export interface TlsCredentialsServices {
  readonly clock: Clock;
  readonly logger: Logger;
}

/** Time after which changed files are in force, in milliseconds. */
export const TLS_RELOAD_PERIOD_MS = 5_000;

const MIN_VERSION = "TLSv1.2";

interface PemCredentials {
  readonly cert: string;
  readonly key: string;
  readonly ca?: string;
}

/** Certificates of one listener and of the connections that belong to it. */
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
   * Reads the files and starts to watch them.
   *
   * @param services - What they are watched with.
   * @param paths - Where they stand.
   * @returns The certificates, or what is wrong with a file.
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
   * Options of a server. With an authority, only clients whose certificate
   * comes from it are let in.
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
   * Options of a connection. They are asked for anew for each connection.
   *
   * @param host - Host that the other side's certificate must name.
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
   * Keeps a server at the newest certificates; connections that are open keep
   * theirs.
   *
   * @param server - A server made with `serverOptions`.
   * @returns Disposing it lets the server go.
   */
  follow(server: Server): Disposable {
    this.#servers.add(server);
    return this.#disposables.add(
      toDisposable(() => this.#servers.delete(server)),
    );
  }

  /** Reads the files; when they do not fit together, what was read stays. */
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

  /** Stops the watch. */
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

/** Files that are replaced one after the other do not fit for a moment. */
function validatePem(
  { certFile }: TlsFilePaths,
  credentials: PemCredentials,
): Either<StepError, PemCredentials> {
  return attempt(
    () => {
      createSecureContext(credentials);
      const certificate = new X509Certificate(credentials.cert);
      if (!certificate.checkPrivateKey(createPrivateKey(credentials.key))) {
        throw new Error("the key does not belong to the certificate");
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

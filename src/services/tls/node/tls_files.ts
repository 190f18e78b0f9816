/** Certificates from files, read again when the files change. */

import { createPrivateKey, X509Certificate } from "node:crypto";
import { readFileSync } from "node:fs";
import {
  type ConnectionOptions,
  createSecureContext,
  type Server,
  type TlsOptions,
} from "node:tls";
import { type Clock, setPeriodic } from "../../../base/common/clock.ts";
import { messageOf, StepError } from "../../../base/common/errors.ts";
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
export interface TlsFilesServices {
  readonly clock: Clock;
  readonly logger: Logger;
}

/** Time after which changed files are in force, in milliseconds. */
export const TLS_RELOAD_PERIOD_MS = 5_000;

const MIN_VERSION = "TLSv1.2";

interface Material {
  readonly cert: string;
  readonly key: string;
  readonly ca?: string;
}

/** Certificates of one listener and of the connections that belong to it. */
export class TlsFiles implements Disposable {
  readonly #services: TlsFilesServices;
  readonly #paths: TlsFilePaths;
  readonly #servers = new Set<Server>();
  readonly #owned = new DisposableStore();
  #material: Material;

  private constructor(
    services: TlsFilesServices,
    paths: TlsFilePaths,
    material: Material,
  ) {
    this.#services = services;
    this.#paths = paths;
    this.#material = material;
    this.#owned.add(
      setPeriodic(services.clock, TLS_RELOAD_PERIOD_MS, () => this.reload()),
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
    services: TlsFilesServices,
    paths: TlsFilePaths,
  ): Either<StepError, TlsFiles> {
    return readMaterial(paths).map((material) =>
      new TlsFiles(services, paths, material)
    );
  }

  /**
   * Options of a server. With an authority, only clients whose certificate
   * comes from it are let in.
   */
  serverOptions(): TlsOptions {
    return {
      ...this.#material,
      minVersion: MIN_VERSION,
      requestCert: this.#material.ca !== undefined,
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
      ...this.#material,
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
    return this.#owned.add(toDisposable(() => this.#servers.delete(server)));
  }

  /** Reads the files; when they do not fit together, what was read stays. */
  reload(): void {
    readMaterial(this.#paths).caseOf({
      Left: (error) => {
        this.#services.logger.log("warn", "tls-reload-failed", {
          step: error.step,
          file: error.peer,
          detail: error.message,
        });
      },
      Right: (material) => this.#use(material),
    });
  }

  /** Stops the watch. */
  dispose(): void {
    this.#owned.dispose();
  }

  #use(material: Material): void {
    const { cert, key, ca } = this.#material;
    const isSame = material.cert === cert && material.key === key &&
      material.ca === ca;
    if (isSame) return;
    this.#material = material;
    for (const server of this.#servers) {
      server.setSecureContext(this.serverOptions());
    }
    this.#services.logger.log("info", "tls-reloaded", {
      file: this.#paths.certFile,
    });
  }
}

function readMaterial(paths: TlsFilePaths): Either<StepError, Material> {
  const { certFile, keyFile, caFile } = paths;
  return readFile(certFile).chain((cert) =>
    readFile(keyFile).chain((key) => {
      if (caFile === undefined) return check(paths, { cert, key });
      return readFile(caFile).chain((ca) => check(paths, { cert, key, ca }));
    })
  );
}

function readFile(path: string): Either<StepError, string> {
  return attempt(
    () => readFileSync(path, "utf8"),
    (thrown) =>
      new StepError(messageOf(thrown), { step: "tls.read", peer: path }),
  );
}

/** Files that are replaced one after the other do not fit for a moment. */
function check(
  { certFile }: TlsFilePaths,
  material: Material,
): Either<StepError, Material> {
  return attempt(
    () => {
      createSecureContext(material);
      const certificate = new X509Certificate(material.cert);
      if (!certificate.checkPrivateKey(createPrivateKey(material.key))) {
        throw new Error("the key does not belong to the certificate");
      }
      return material;
    },
    (thrown) =>
      new StepError(messageOf(thrown), { step: "tls.check", peer: certFile }),
  );
}

import { mergePatch } from '@pewterlanding/model';
import { crc32 } from '@pewterlanding/runtime';
import { isNewer } from './isNewer.js';
import type { Update } from './update.js';
import type { Version } from './version.js';

interface Held {
  readonly update: Update;
  /** Of key and version; nothing where the news is volatile. */
  readonly fingerprint: number;
  readonly bucket: number;
}

/** Boards are compared bucket by bucket, so that a comparison costs what differs and not what is held. */
const buckets = 64;

/** All news a node holds; of each key only the newest. Boards that took the same news are equal, in whatever order it came. */
export class StateTable {
  readonly #held = new Map<string, Held>();
  /** The same by what stands before the first slash: most are looked for by kind, and fronts have the most news of all. */
  readonly #kinds = new Map<string, Map<string, Update>>();
  readonly #digest: number[] = new Array<number>(buckets).fill(0);
  #checksum = 0;

  /** Equal on two boards that hold the same lasting news. */
  get checksum(): number {
    return this.#checksum;
  }

  /** A checksum for each bucket of keys. */
  get digest(): readonly number[] {
    return this.#digest;
  }

  get(key: string): Update | undefined {
    return this.#held.get(key)?.update;
  }

  /** False when the news is not newer than what is held. */
  put(update: Update): boolean {
    const known = this.#held.get(update.key);
    if (!isNewer(update.version, known?.update.version)) return false;
    const bucket = known?.bucket ?? crc(update.key) % buckets;
    const fingerprint = update.volatile ? 0 : mixed(crc(`${update.key}\u0000${update.version.join('.')}`));
    this.#held.set(update.key, { update, fingerprint, bucket });
    const kind = update.key.slice(0, update.key.indexOf('/') + 1);
    const alike = this.#kinds.get(kind) ?? new Map<string, Update>();
    this.#kinds.set(kind, alike.set(update.key, update));
    const change = fingerprint ^ (known?.fingerprint ?? 0);
    this.#checksum = (this.#checksum ^ change) >>> 0;
    this.#digest[bucket] = ((this.#digest[bucket] ?? 0) ^ change) >>> 0;
    return true;
  }

  /** News as it can be held here: a change made whole from the version it starts at, or 'unknown' where that one is not here. */
  whole(update: Update): Update | 'unknown' {
    const { change, ...rest } = update;
    if (change === undefined) return update;
    const known = this.get(update.key);
    if (known === undefined || known.version[0] !== change.from[0] || known.version[1] !== change.from[1]) return 'unknown';
    return { ...rest, value: mergePatch(known.value, change.patch) };
  }

  *withPrefix(prefix: string): Generator<Update> {
    const slash = prefix.indexOf('/') + 1;
    const kinds = slash === 0 ? this.#kinds.values() : [this.#kinds.get(prefix.slice(0, slash)) ?? new Map<string, Update>()];
    for (const alike of kinds)
      for (const update of alike.values()) if (slash === prefix.length || update.key.startsWith(prefix)) yield update;
  }

  /** Buckets that hold something else here than where that digest was made. */
  differing(digest: readonly number[]): readonly number[] {
    return this.#digest.flatMap((own, bucket) => (own === digest[bucket] ? [] : [bucket]));
  }

  versions(within: readonly number[]): Record<string, Version> {
    return Object.fromEntries([...this.#lasting(within)].map((update) => [update.key, update.version]));
  }

  /** What is held in these buckets newer than in the versions given, and the keys that are newer there. */
  compare(
    within: readonly number[],
    versions: Readonly<Record<string, Version>>,
  ): { readonly newer: readonly Update[]; readonly wanted: readonly string[] } {
    const newer = [...this.#lasting(within)].filter((update) => isNewer(update.version, versions[update.key]));
    const wanted = Object.entries(versions).flatMap(([key, version]) => (isNewer(version, this.get(key)?.version) ? [key] : []));
    return { newer, wanted };
  }

  *#lasting(within: readonly number[]): Generator<Update> {
    const asked = new Set(within);
    for (const { update, bucket } of this.#held.values()) if (!update.volatile && asked.has(bucket)) yield update;
  }
}

function crc(text: string): number {
  return crc32(new TextEncoder().encode(text));
}

/** A CRC is linear: unmixed, two keys that differ by the same turn cancel each other out, and unlike boards pass for equal. */
function mixed(sum: number): number {
  let fingerprint = sum;
  fingerprint = Math.imul(fingerprint ^ (fingerprint >>> 16), 0x85ebca6b);
  fingerprint = Math.imul(fingerprint ^ (fingerprint >>> 13), 0xc2b2ae35);
  return (fingerprint ^ (fingerprint >>> 16)) >>> 0;
}

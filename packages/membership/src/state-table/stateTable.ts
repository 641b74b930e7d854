import { mergePatch } from '@pewterlanding/model';
import { crc32 } from '@pewterlanding/runtime';
import { isNewer } from './isNewer.js';
import type { Update } from './update.js';
import type { Version } from './version.js';

interface Row {
  readonly update: Update;
  /** Hash of key and version; 0 where the update is volatile. */
  readonly fingerprint: number;
  readonly bucket: number;
}

/** Tables are compared bucket by bucket, so that a comparison costs what differs, not what is held. */
const bucketCount = 64;

/**
 * The newest update of each key. Tables that received the same updates are equal, in whatever order they came: a last-writer-wins
 * map by version.
 */
export class StateTable {
  readonly #rows = new Map<string, Row>();
  /** The same updates by the prefix before the key's first slash, since most searches are for one prefix. */
  readonly #byPrefix = new Map<string, Map<string, Update>>();
  readonly #digest: number[] = new Array<number>(bucketCount).fill(0);
  #checksum = 0;

  /** Equal for two tables that hold the same updates, volatile ones left out. */
  get checksum(): number {
    return this.#checksum;
  }

  /** A checksum for each bucket of keys. */
  get digest(): readonly number[] {
    return this.#digest;
  }

  /** The newest update of a key. */
  get(key: string): Update | undefined {
    return this.#rows.get(key)?.update;
  }

  /** False when the table holds the same version or a newer one. */
  put(update: Update): boolean {
    const known = this.#rows.get(update.key);
    if (!isNewer(update.version, known?.update.version)) return false;
    const bucket = known?.bucket ?? crc(update.key) % bucketCount;
    const fingerprint = update.volatile ? 0 : mixBits(crc(`${update.key}\u0000${update.version.join('.')}`));
    this.#rows.set(update.key, { update, fingerprint, bucket });
    const prefix = update.key.slice(0, update.key.indexOf('/') + 1);
    const group = this.#byPrefix.get(prefix) ?? new Map<string, Update>();
    this.#byPrefix.set(prefix, group.set(update.key, update));
    const change = fingerprint ^ (known?.fingerprint ?? 0);
    this.#checksum = (this.#checksum ^ change) >>> 0;
    this.#digest[bucket] = ((this.#digest[bucket] ?? 0) ^ change) >>> 0;
    return true;
  }

  /** An update with its whole value: a change is applied to the version it starts from; 'unknown' where that one is not here. */
  whole(update: Update): Update | 'unknown' {
    const { change, ...rest } = update;
    if (change === undefined) return update;
    const known = this.get(update.key);
    if (known === undefined || known.version[0] !== change.from[0] || known.version[1] !== change.from[1]) return 'unknown';
    return { ...rest, value: mergePatch(known.value, change.patch) };
  }

  /** All updates whose keys start with `prefix`. */
  *withPrefix(prefix: string): Generator<Update> {
    const slash = prefix.indexOf('/') + 1;
    const groups = slash === 0 ? this.#byPrefix.values() : [this.#byPrefix.get(prefix.slice(0, slash)) ?? new Map<string, Update>()];
    for (const group of groups)
      for (const update of group.values()) if (slash === prefix.length || update.key.startsWith(prefix)) yield update;
  }

  /** The buckets that differ from another table's digest. */
  differing(digest: readonly number[]): readonly number[] {
    return this.#digest.flatMap((own, bucket) => (own === digest[bucket] ? [] : [bucket]));
  }

  /** The version of each key in these buckets, volatile updates left out. */
  versions(buckets: readonly number[]): Record<string, Version> {
    return Object.fromEntries([...this.#lasting(buckets)].map((update) => [update.key, update.version]));
  }

  /** The updates in these buckets that are newer here than the given versions, and the keys whose given versions are newer. */
  compare(
    buckets: readonly number[],
    versions: Readonly<Record<string, Version>>,
  ): { readonly newer: readonly Update[]; readonly wanted: readonly string[] } {
    const newer = [...this.#lasting(buckets)].filter((update) => isNewer(update.version, versions[update.key]));
    const wanted = Object.entries(versions).flatMap(([key, version]) => (isNewer(version, this.get(key)?.version) ? [key] : []));
    return { newer, wanted };
  }

  *#lasting(buckets: readonly number[]): Generator<Update> {
    const asked = new Set(buckets);
    for (const { update, bucket } of this.#rows.values()) if (!update.volatile && asked.has(bucket)) yield update;
  }
}

function crc(text: string): number {
  return crc32(new TextEncoder().encode(text));
}

/**
 * MurmurHash3's finalizer. A CRC is linear: without it, two keys that differ by the same sequence step cancel each other out in the
 * XOR, and different tables would have equal checksums.
 */
function mixBits(sum: number): number {
  let fingerprint = sum;
  fingerprint = Math.imul(fingerprint ^ (fingerprint >>> 16), 0x85ebca6b);
  fingerprint = Math.imul(fingerprint ^ (fingerprint >>> 13), 0xc2b2ae35);
  return (fingerprint ^ (fingerprint >>> 16)) >>> 0;
}

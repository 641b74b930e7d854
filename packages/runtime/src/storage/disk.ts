/** Durable files in one folder. When the promise of `append`, `replace` or `remove` resolves, the change is synced. */
export interface Disk {
  /** The whole file; undefined when there is none. */
  read(file: string): Promise<Uint8Array | undefined>;
  /** Appends to a file, which is created if there is none. */
  append(file: string, bytes: Uint8Array): Promise<void>;
  /** Writes a temporary file, syncs it, renames it over `file` and syncs the folder. */
  replace(file: string, bytes: Uint8Array): Promise<void>;
  /** Deletes a file, if there is one. */
  remove(file: string): Promise<void>;
  /** Names of the files, sorted. */
  list(): Promise<readonly string[]>;
}

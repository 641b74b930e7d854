/** One folder of files. What `append` and `replace` return for has been synced. */
export interface Disk {
  read(file: string): Promise<Uint8Array | undefined>;
  append(file: string, bytes: Uint8Array): Promise<void>;
  /** Writes a temporary file, syncs it, renames it over `file` and syncs the folder. */
  replace(file: string, bytes: Uint8Array): Promise<void>;
  /** Takes a file away for good; nothing happens when there is none. */
  remove(file: string): Promise<void>;
  list(): Promise<readonly string[]>;
}

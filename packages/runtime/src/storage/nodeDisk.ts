import { mkdir, open, readFile, readdir, rename, rm } from 'node:fs/promises';
import type { FileHandle } from 'node:fs/promises';
import { join } from 'node:path';
import type { Disk } from './disk.js';

/** Files in one folder of the machine, which is created when it is first needed. Files that end in `.new` are temporary. */
export class NodeDisk implements Disk {
  readonly #folder: string;
  readonly #handles = new Map<string, Promise<FileHandle>>();

  constructor(folder: string) {
    this.#folder = folder;
  }

  async read(file: string): Promise<Uint8Array | undefined> {
    try {
      return await readFile(join(this.#folder, file));
    } catch (error) {
      if (error instanceof Error && 'code' in error && error.code === 'ENOENT') return undefined;
      throw error;
    }
  }

  async append(file: string, bytes: Uint8Array): Promise<void> {
    const handle = await this.#handle(file);
    await handle.appendFile(bytes);
    await handle.datasync();
  }

  async replace(file: string, bytes: Uint8Array): Promise<void> {
    await mkdir(this.#folder, { recursive: true });
    // The open handle belongs to the file that the rename replaces.
    await this.#release(file);
    const temporary = join(this.#folder, `${file}.new`);
    const handle = await open(temporary, 'w');
    await handle.writeFile(bytes);
    await handle.sync();
    await handle.close();
    await rename(temporary, join(this.#folder, file));
    await this.#syncFolder();
  }

  async remove(file: string): Promise<void> {
    await this.#release(file);
    await rm(join(this.#folder, file), { force: true });
    await this.#syncFolder();
  }

  async list(): Promise<readonly string[]> {
    await mkdir(this.#folder, { recursive: true });
    return (await readdir(this.#folder)).filter((name) => !name.endsWith('.new')).sort();
  }

  async #release(file: string): Promise<void> {
    const opened = this.#handles.get(file);
    this.#handles.delete(file);
    if (opened !== undefined) await (await opened).close();
  }

  #handle(file: string): Promise<FileHandle> {
    const known = this.#handles.get(file);
    if (known !== undefined) return known;
    const opened = mkdir(this.#folder, { recursive: true })
      .then(() => open(join(this.#folder, file), 'a'))
      .then(async (handle) => {
        // The directory entry of a new file is durable only once the folder is synced.
        await this.#syncFolder();
        return handle;
      });
    this.#handles.set(file, opened);
    return opened;
  }

  async #syncFolder(): Promise<void> {
    const folder = await open(this.#folder, 'r');
    await folder.sync();
    await folder.close();
  }
}

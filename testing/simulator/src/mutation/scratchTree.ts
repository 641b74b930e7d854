import { existsSync } from 'node:fs';
import { cp, mkdir, mkdtemp, readdir, readFile, rm, symlink, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { FindingsError } from '@pewterlanding/model';
import type { Finding } from '@pewterlanding/model';
import type { Mutation } from './mutation.js';

const kinds = ['packages', 'programs', 'testing'];
const scope = '@pewterlanding';

/** A copy of the built tree in which safeguards are taken out; nothing of the tree itself is touched. */
export class ScratchTree {
  readonly folder: string;

  private constructor(folder: string) {
    this.folder = folder;
  }

  static async copy(root: string): Promise<ScratchTree> {
    const tree = new ScratchTree(await mkdtemp(join(tmpdir(), 'guards-')));
    const modules = join(tree.folder, 'node_modules');
    await mkdir(join(modules, scope), { recursive: true });
    for (const name of await readdir(join(root, 'node_modules'))) {
      if (name !== scope) await symlink(join(root, 'node_modules', name), join(modules, name));
    }
    for (const kind of kinds) {
      for (const name of await builtFolders(join(root, kind))) {
        const to = join(tree.folder, kind, name);
        await cp(join(root, kind, name, 'dist'), join(to, 'dist'), { recursive: true });
        await cp(join(root, kind, name, 'package.json'), join(to, 'package.json'));
        await symlink(to, join(modules, scope, name));
      }
    }
    return tree;
  }

  /** Takes a safeguard out. A text that is not there exactly once is an error: the list is out of date. */
  async apply(mutation: Mutation): Promise<void> {
    const findings: Finding[] = [];
    for (const { file, text, instead } of mutation.edits) {
      const path = join(this.folder, file);
      const before = await readFile(path, 'utf8').catch(() => '');
      const found = before.split(text).length - 1;
      if (found !== 1) findings.push({ place: `${mutation.name}: ${file}`, message: `${found} times in it: ${text}` });
      else
        await writeFile(
          path,
          before.replace(text, () => instead),
        );
    }
    if (findings.length > 0) throw new FindingsError(findings);
  }

  async remove(): Promise<void> {
    await rm(this.folder, { recursive: true, force: true });
  }
}

/** The folders of a kind that hold a built package; others, such as fixtures, are no code. */
async function builtFolders(folder: string): Promise<readonly string[]> {
  const names = await readdir(folder);
  return names.filter((name) => existsSync(join(folder, name, 'dist')));
}

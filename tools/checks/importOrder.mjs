// No import runs in a circle, and none from a layer to one that stands above it.
import { circlesOf, importsOf, upwardImports } from './importGraph.mjs';

const source = /^(?:packages|programs|testing|examples)\/[\w-]+\/src\/.*\.ts$|^platform\/src\/.*\.ts$/;
const manifest = /^((?:packages|programs|testing|examples)\/[\w-]+|platform)\/package\.json$/;

/** `files` is a map of path to text. */
export function importOrderFindings(files) {
  const graph = new Map([...files].filter(([file]) => source.test(file)).map(([file, text]) => [file, importsOf(file, text)]));
  const folderOf = new Map(
    [...files].filter(([file]) => manifest.test(file)).map(([file, text]) => [JSON.parse(text).name, manifest.exec(file)[1]]),
  );
  const circles = circlesOf(graph).map((circle) => `imports run in a circle: ${circle.join(', ')}`);
  return [...circles, ...upwardImports(graph, folderOf)];
}

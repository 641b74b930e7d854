// Every file of the project that a page names by its path must be there.

const page = /^(README\.md|docs\/.*\.md)$/;
const path = /`((?:[\w.-]+\/)+[\w.-]+\.(?:ts|mjs|cjs|js|json|toml|md))`/g;

/** `files` is a map of path to text. */
export function docPathFindings(files) {
  return (
    [...files]
      // The list of renamed tests names files as they were.
      .filter(([file]) => page.test(file) && file !== 'docs/renamed-tests.md')
      .flatMap(([file, text]) =>
        text.split('\n').flatMap((line, index) =>
          [...line.matchAll(path)]
            .map((match) => match[1])
            .filter((name) => !files.has(name))
            .map((name) => `${file}:${index + 1}: no file ${name}`),
        ),
      )
  );
}

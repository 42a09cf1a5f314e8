package loomreel.cli;

import java.util.concurrent.Callable;
import loomreel.settings.InstallationFile;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** {@code schema}: prints the schema of settings files. */
@Command(name = "schema", description = "Prints the schema of the settings.")
final class SchemaCommand implements Callable<Integer> {
  @Option(names = "--json", description = "as JSON Schema, for editors")
  private boolean isJson;

  @Override
  public Integer call() {
    System.out.print(
        isJson
            ? InstallationFile.schema().jsonSchema(InstallationFile.INSTALLATION) + "\n"
            : InstallationFile.schema().text());
    return ExitCodes.OK;
  }
}

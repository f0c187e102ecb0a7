package ctl

import (
	"crypto/rand"
	"fmt"
	"io"
	"path/filepath"

	"github.com/spf13/cobra"

	"sapphiregate.example/sapphiregate/state/bundle"
)

// keyFiles is the output of keys generate: the operator's name and the paths of the two files.
type keyFiles struct {
	Operator string `json:"operator"`
	Private  string `json:"private"`
	Keyring  string `json:"keyring"`
}

func (a *app) keysCommand() *cobra.Command {
	return commandGroup("keys", "Manage operator keys", a.generateKeyCommand())
}

func (a *app) generateKeyCommand() *cobra.Command {
	var folder string
	command := &cobra.Command{
		Use:   "generate OPERATOR",
		Short: "Write a private key file and a keyring file with the public key",
		Args:  exactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			key, err := bundle.GenerateKey(args[0], rand.Reader)
			if err != nil {
				return err
			}
			files := keyFiles{
				Operator: key.Operator,
				Private:  filepath.Join(folder, key.Operator+".key.json"),
				Keyring:  filepath.Join(folder, key.Operator+".keyring.json"),
			}
			if err := key.Save(files.Private); err != nil {
				return err
			}
			if err := key.SavePublic(files.Keyring); err != nil {
				return err
			}
			return a.print(c, files, func(w io.Writer) {
				fmt.Fprintf(w, "private key\t%s\tkeep it on this instance\n", files.Private)
				fmt.Fprintf(w, "keyring\t%s\tadd its entry to the keyring of every control member and node\n", files.Keyring)
			})
		},
	}
	command.Flags().StringVar(&folder, "folder", ".", "folder to write the files to")
	return command
}
